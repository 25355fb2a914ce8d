package store

import (
	"errors"
	"fmt"
	"io"
	"path"
	"testing"

	"github.com/cockroachdb/pebble/vfs"
)

// FuzzIdentity parses any text as a directory's identity: an error is one of two, and an identity without an error is whole.
func FuzzIdentity(f *testing.F) {
	f.Add([]byte(`{"version":1,"server":"n3","site":"s","secret":"AAAAAAAAAAAAAAAAAAAAAA==","made":"2026-12-01T12:00:00Z"}`))
	f.Add([]byte(`{"version":2,"secret":7}`))
	f.Add([]byte(`{"version":1,"secret":"AA=="}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		id, err := parseIdentity(text)
		isWhole := id.Version == Version && len(id.Secret) == secretBytes
		isKnownError := errors.Is(err, ErrCorrupt) || errors.Is(err, ErrNewerVersion)
		if err == nil && !isWhole || err != nil && !isKnownError {
			t.Errorf("%+v, %v", id, err)
		}
	})
}

// copyFiles returns a file layer of its own with the files of a directory, each passed through damage.
func copyFiles(t testing.TB, from vfs.FS, damage func(name string, text []byte) []byte) vfs.FS {
	t.Helper()
	to := vfs.NewMem()
	names, err := from.List("/state")
	if err == nil {
		err = to.MkdirAll("/state", 0o755)
	}
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		in, err := from.Open(path.Join("/state", name))
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(in)
		if err != nil {
			t.Fatal(err)
		}
		in.Close()
		out, err := to.Create(path.Join("/state", name))
		if err == nil {
			_, err = out.Write(damage(name, text))
		}
		if err == nil {
			err = out.Close()
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	return to
}

// writeSample fills a store with 40 records, half of them in a table and half in a log.
func writeSample(f *testing.F, fsys vfs.FS) {
	f.Helper()
	s := open(f, fsys)
	for i := range 40 {
		if err := write(s, Change{Name: fmt.Sprint("k", i), Value: fmt.Appendf(nil, "value %d", i)}); err != nil {
			f.Fatal(err)
		}
		if i == 20 {
			if err := s.CompactAll(); err != nil { // half of them in a table, half in a log
				f.Fatal(err)
			}
		}
	}
	if err := s.Close(); err != nil {
		f.Fatal(err)
	}
}

// damage flips the bits of the mask in the byte at a place, or truncates the text there where the mask is 0.
func damage(text []byte, place int, mask byte) []byte {
	if mask == 0 {
		return text[:place]
	}
	text = append([]byte(nil), text...)
	text[place] ^= mask
	return text
}

// FuzzFolder damages a byte of a file of a directory, or truncates the file there: opening and reading it yields the records as
// they were written, with some missing at most, or an error. It never panics and never hangs.
func FuzzFolder(f *testing.F) {
	intact := vfs.NewMem()
	writeSample(f, intact)
	for n := range uint8(12) {
		f.Add(n, uint32(n)*37, byte(1<<(n%8)))
		f.Add(n, uint32(20), byte(0))
	}
	f.Fuzz(func(t *testing.T, file uint8, at uint32, mask byte) {
		names, err := intact.List("/state")
		if err != nil {
			t.Fatal(err)
		}
		target := names[int(file)%len(names)]
		damaged := copyFiles(t, intact, func(name string, text []byte) []byte {
			if name != target || len(text) == 0 {
				return text
			}
			return damage(text, int(at)%len(text), mask)
		})
		s, err := Open(config(damaged))
		if err != nil {
			return
		}
		defer s.Close()
		s.ForEach("", func(name, value []byte) error { // an error names the damage
			if want := "value " + string(name[1:]); string(value) != want {
				t.Errorf("%s is %q, want %q", name, value, want)
			}
			return nil
		})
	})
}
