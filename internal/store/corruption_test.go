package store

import (
	"errors"
	"fmt"
	"io"
	"path"
	"testing"

	"github.com/cockroachdb/pebble/vfs"
)

// FuzzIdentity parses arbitrary text as a directory's identity. The result must be a valid identity, ErrCorrupt or
// ErrNewerVersion.
func FuzzIdentity(f *testing.F) {
	f.Add([]byte(`{"version":1,"server":"n3","site":"s","secret":"AAAAAAAAAAAAAAAAAAAAAA==","made":"2026-12-01T12:00:00Z"}`))
	f.Add([]byte(`{"version":2,"secret":7}`))
	f.Add([]byte(`{"version":1,"secret":"AA=="}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		id, err := parseIdentity(text)
		isValid := id.Version == Version && len(id.Secret) == secretBytes
		isKnownError := errors.Is(err, ErrCorrupt) || errors.Is(err, ErrNewerVersion)
		if err == nil && !isValid || err != nil && !isKnownError {
			t.Errorf("%+v, %v", id, err)
		}
	})
}

// copyFiles returns a new in-memory file system with the files of the directory /state, each passed through damage.
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

// writeSample fills a store with 40 records, about half of them in an sstable and the others in the write-ahead log.
func writeSample(f *testing.F, fsys vfs.FS) {
	f.Helper()
	s := open(f, fsys)
	for i := range 40 {
		if err := write(s, Change{Name: fmt.Sprint("k", i), Value: fmt.Appendf(nil, "value %d", i)}); err != nil {
			f.Fatal(err)
		}
		if i == 20 {
			if err := s.CompactAll(); err != nil { // moves the records so far to an sstable
				f.Fatal(err)
			}
		}
	}
	if err := s.Close(); err != nil {
		f.Fatal(err)
	}
}

// damage returns the text with the bits of mask flipped in the byte at place, or truncated at place if mask is 0.
func damage(text []byte, place int, mask byte) []byte {
	if mask == 0 {
		return text[:place]
	}
	text = append([]byte(nil), text...)
	text[place] ^= mask
	return text
}

// FuzzDamagedDirectory flips bits in a byte of a file of a state directory, or truncates the file there. Opening and
// reading the directory must return an error, or records with the written values, of which some may be missing. It must not
// panic or hang.
func FuzzDamagedDirectory(f *testing.F) {
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
		s.ForEach("", func(name, value []byte) error { // an error is allowed: it reports the damage
			if want := "value " + string(name[1:]); string(value) != want {
				t.Errorf("%s is %q, want %q", name, value, want)
			}
			return nil
		})
	})
}
