package main

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"tillerusher/internal/idempotency"
	"tillerusher/internal/store"
)

// TestState checks that the state commands print the records of a state directory, report damaged records, and remove only expired or
// unreadable records.
func TestState(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	s, err := store.Open(store.Config{Dir: dir, Server: "n3", SiteFingerprint: "stock-reserve 18s"})
	if err != nil {
		t.Fatal(err)
	}
	if status, _, stderr := runCommand(t, "state", "info", dir); status != 3 ||
		!strings.Contains(stderr, "another process uses the state directory") {
		t.Errorf("a state directory in use: status %d, %s", status, stderr)
	}
	now := time.Now()
	var changes []store.Change
	add := func(key string, state idempotency.State, until time.Time, body string) {
		e := idempotency.Entry{Key: idempotency.Key{Class: "stock-reserve", Key: key}, State: state, ReceivedAt: now, ExpiresAt: until,
			Response: idempotency.Response{Status: 200, Body: []byte(body)}}
		changes = append(changes, store.Change{Name: e.Key.RecordName(), Value: e.Encode()})
	}
	add("aa", idempotency.Completed, now.Add(time.Hour), "result")
	add("bb", idempotency.Intent, now.Add(time.Hour), "")
	add("cc", idempotency.Completed, now.Add(-time.Hour), "old")
	add("dd", idempotency.Completed, now.Add(time.Hour), "flipped")
	changes[3].Value[12] ^= 1
	done := make(chan error, 1)
	if err := s.Write(changes, func(err error) { done <- err }); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args   string
		status int
		text   string
	}{
		{"state info ", 0, "1 done, 1 intents, 0 with evicted responses; 1 records expired, 1 unreadable"},
		{"state verify ", 1, "its checksum differs"},
		{"state dump ", 0, "stock-reserve aa done received"},
		{"state expire ", 0, "1 records whose window has passed were removed"},
		{"state repair ", 0, "1 records that could not be read were removed"},
		{"state verify ", 0, "2 records intact, 0 damaged"},
		{"state verify /nowhere", 3, "the state directory has no store"},
	} {
		args := strings.Fields(c.args)
		if len(args) == 2 {
			args = append(args, dir)
		}
		for _, json := range []bool{false, true} {
			if json {
				if args = append(args, "--json"); args[1] == "expire" || args[1] == "repair" {
					continue
				}
			}
			status, stdout, stderr := runCommand(t, args...)
			if status != c.status || !json && !strings.Contains(stdout+stderr, c.text) || json && status < 2 && !strings.HasPrefix(stdout, "{") {
				t.Errorf("%v: status %d, want %d and %q: %s%s", args, status, c.status, c.text, stdout, stderr)
			}
		}
	}
}
