package store

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"tillerusher/internal/idempotency"
)

// randomEntry returns an entry with a random key. It fills body with random bytes, so that the response is not compressible.
func randomEntry(rng *rand.Rand, body []byte) idempotency.Entry {
	for i := range body {
		body[i] = byte(rng.Uint32())
	}
	return idempotency.Entry{
		Key:        idempotency.Key{Class: "stock-reserve", Key: fmt.Sprintf("%016x%016x", rng.Uint64(), rng.Uint64())},
		State:      idempotency.Completed,
		ReceivedAt: time.Now(),
		ExpiresAt:  time.Now(),
		BodyHash:   rng.Uint64(),
		Response: idempotency.Response{
			Status: 200,
			Header: []idempotency.HeaderField{{Name: "Content-Type", Value: "application/json"}},
			Body:   body,
		},
	}
}

// fillStore writes n entries, 1000 in each request, and compacts the store as an idle server does.
func fillStore(b *testing.B, dir string, n int) {
	b.Helper()
	s, err := Open(Config{Dir: dir, Server: "n3", SiteFingerprint: "s"})
	if err != nil {
		b.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	body := make([]byte, 150)
	for at := 0; at < n; at += 1000 {
		var changes []Change
		for range 1000 {
			e := randomEntry(rng, body)
			changes = append(changes, Change{Name: e.Key.RecordName(), Value: e.Encode()})
		}
		if err := write(s, changes...); err != nil {
			b.Fatal(err)
		}
	}
	if _, err := s.Compact(); err != nil {
		b.Fatal(err)
	}
	if err := s.Close(); err != nil {
		b.Fatal(err)
	}
}

// readStore opens a store, reads all records, checks that there are n, and returns the store's disk usage in bytes.
func readStore(b *testing.B, dir string, n int) (size int64) {
	b.Helper()
	s, err := Open(Config{Dir: dir, Server: "n3", SiteFingerprint: "s"})
	if err != nil {
		b.Fatal(err)
	}
	size = s.Size()
	read := 0
	if err := s.ForEach("", func(_, _ []byte) error { read++; return nil }); err != nil || read != n {
		b.Fatalf("read %d records, error %v", read, err)
	}
	if err := s.Close(); err != nil {
		b.Fatal(err)
	}
	return size
}

// BenchmarkRecovery measures opening a directory with many records and reading all of them.
func BenchmarkRecovery(b *testing.B) {
	for _, n := range []int{1_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			dir := b.TempDir()
			fillStore(b, dir, n)
			size := int64(0)
			for b.Loop() {
				size = readStore(b, dir, n)
			}
			b.ReportMetric(float64(size)/float64(n), "B/record")
		})
	}
}

// BenchmarkSyncs writes intents at fixed rates per second to a directory on disk and reports the number of syncs per write.
func BenchmarkSyncs(b *testing.B) {
	for _, rate := range []int{1, 50, 500, 5000} {
		b.Run(fmt.Sprint(rate), func(b *testing.B) {
			s, err := Open(Config{Dir: b.TempDir(), Server: "n3", SiteFingerprint: "s"})
			if err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			value := make([]byte, 100)
			before := s.Stats().Syncs
			var written sync.WaitGroup
			next, n := time.Now(), 0
			for b.Loop() {
				next = next.Add(time.Second / time.Duration(rate))
				time.Sleep(time.Until(next))
				written.Add(1)
				n++
				if err := s.Write([]Change{{Name: fmt.Sprint(n), Value: value}}, func(error) { written.Done() }); err != nil {
					b.Fatal(err)
				}
			}
			written.Wait()
			b.ReportMetric(float64(s.Stats().Syncs-before)/float64(n), "syncs/write")
		})
	}
}
