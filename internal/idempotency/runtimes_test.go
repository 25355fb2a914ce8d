package idempotency

import (
	"errors"
	"reflect"
	"testing"
	"time"
)

// TestRunTimes checks that decoding an encoded record returns the same run times, that any flipped bit is detected, and that
// older run times have fewer samples.
func TestRunTimes(t *testing.T) {
	runTimes := &RunTimes{SavedAt: start, Machine: "m", Classes: []ClassRunTime{
		{"a", 20 * time.Millisecond, 30 * time.Millisecond, 500},
		{Name: "never"},
		{"b", time.Second, 2 * time.Second, 3},
	}}
	record := runTimes.Encode()
	decoded, err := DecodeRunTimes(record)
	if err != nil || !reflect.DeepEqual(decoded, runTimes) {
		t.Fatalf("error %v, decoded %+v", err, decoded)
	}
	for bit := range len(record) * 8 {
		record[bit/8] ^= 1 << (bit % 8)
		if _, err := DecodeRunTimes(record); !errors.Is(err, ErrBadRecord) {
			t.Fatalf("record with bit %d flipped: error %v, want ErrBadRecord", bit, err)
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
			t.Errorf("age %v on machine %s: %v samples, want %v", c.age, c.machine, samples, c.samples)
		}
	}
}

// FuzzDecodeRunTimes checks that decoding arbitrary bytes does not panic, and that a record that decodes survives a round
// trip.
func FuzzDecodeRunTimes(f *testing.F) {
	f.Add((&RunTimes{SavedAt: start, Machine: "m", Classes: []ClassRunTime{{"a", time.Second, time.Second, 1}}}).Encode())
	f.Fuzz(func(t *testing.T, record []byte) {
		if runTimes, err := DecodeRunTimes(record); err == nil {
			runTimes.WeightByAge(start, "m")
			if decoded, err := DecodeRunTimes(runTimes.Encode()); err != nil || !reflect.DeepEqual(decoded, runTimes) {
				t.Errorf("error %v, decoded %+v, want %+v", err, decoded, runTimes)
			}
		}
	})
}
