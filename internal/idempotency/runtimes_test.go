package idempotency

import (
	"errors"
	"reflect"
	"testing"
	"time"
)

// TestRunTimes decodes what was encoded, detects any flipped bit, and gives less weight to older run times.
func TestRunTimes(t *testing.T) {
	runTimes := &RunTimes{SavedAt: start, Machine: "m", Classes: []ClassRunTime{
		{"a", 20 * time.Millisecond, 30 * time.Millisecond, 500},
		{Name: "never"},
		{"b", time.Second, 2 * time.Second, 3},
	}}
	record := runTimes.Encode()
	decoded, err := DecodeRunTimes(record)
	if err != nil || !reflect.DeepEqual(decoded, runTimes) {
		t.Fatalf("%v: %+v", err, decoded)
	}
	for bit := range len(record) * 8 {
		record[bit/8] ^= 1 << (bit % 8)
		if _, err := DecodeRunTimes(record); !errors.Is(err, ErrBadRecord) {
			t.Fatalf("bit %d flipped: %v", bit, err)
		}
		record[bit/8] ^= 1 << (bit % 8)
	}
	for _, c := range []struct {
		age     time.Duration
		machine string
		samples []int
	}{
		{0, "m", []int{3, 3}},
		{time.Hour, "m", []int{2, 2}},
		{10 * time.Hour, "m", []int{1, 1}},
		{25 * time.Hour, "m", nil},
		{-time.Hour, "m", []int{3, 3}},
		{-3 * time.Hour, "m", nil},
		{0, "other", nil},
	} {
		var samples []int
		for _, class := range runTimes.WeightByAge(start.Add(c.age), c.machine) {
			samples = append(samples, class.Samples)
		}
		if !reflect.DeepEqual(samples, c.samples) {
			t.Errorf("aged %v on %s: counts as %v runs, want %v", c.age, c.machine, samples, c.samples)
		}
	}
}

// FuzzDecodeRunTimes decodes any bytes without a panic.
func FuzzDecodeRunTimes(f *testing.F) {
	f.Add((&RunTimes{SavedAt: start, Machine: "m", Classes: []ClassRunTime{{"a", time.Second, time.Second, 1}}}).Encode())
	f.Fuzz(func(t *testing.T, record []byte) {
		if runTimes, err := DecodeRunTimes(record); err == nil {
			runTimes.WeightByAge(start, "m")
			if decoded, err := DecodeRunTimes(runTimes.Encode()); err != nil || !reflect.DeepEqual(decoded, runTimes) {
				t.Errorf("%v: %+v, want %+v", err, decoded, runTimes)
			}
		}
	})
}
