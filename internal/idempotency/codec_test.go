package idempotency

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestEntryRoundTrip checks that decoding an encoded entry returns the same entry, and that any flipped bit is detected.
func TestEntryRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := Entry{
			Key: Key{
				Class: rapid.StringMatching(`[a-z-]{1,9}`).Draw(t, "class"),
				Key:   rapid.StringMatching(`[0-9a-f]{32}`).Draw(t, "key"),
			},
			State:      State(rapid.IntRange(1, 3).Draw(t, "state")),
			ReceivedAt: start,
			ExpiresAt:  start.Add(time.Hour),
			BodyHash:   rapid.Uint64().Draw(t, "sum"),
			Response: Response{
				Status: 200,
				Header: []HeaderField{{"A", "b"}},
				Body:   rapid.SliceOf(rapid.Byte()).Draw(t, "body"),
			},
		}
		if e.Response.Body == nil {
			e.Response.Body = []byte{}
		}
		record := e.Encode()
		decoded, err := DecodeEntry(e.Key.RecordName(), record)
		if err != nil || !reflect.DeepEqual(decoded, e) {
			t.Fatalf("error %v, decoded %+v, want %+v", err, decoded, e)
		}
		bit := rapid.IntRange(0, len(record)*8-1).Draw(t, "bit")
		record[bit/8] ^= 1 << (bit % 8)
		if _, err := DecodeEntry(e.Key.RecordName(), record); !errors.Is(err, ErrBadRecord) {
			t.Fatalf("record with a flipped bit: error %v, want ErrBadRecord", err)
		}
	})
}

// FuzzDecodeEntry checks that decoding arbitrary bytes does not panic, and that an entry that decodes survives a round trip.
func FuzzDecodeEntry(f *testing.F) {
	e := Entry{Key: Key{"c", "k"}, State: Completed, ReceivedAt: start, ExpiresAt: start, Response: Response{Status: 200, Body: []byte("x")}}
	f.Add(e.Key.RecordName(), e.Encode())
	f.Add("k/", []byte{})
	f.Fuzz(func(t *testing.T, name string, record []byte) {
		if e, err := DecodeEntry(name, record); err == nil {
			if decoded, err := DecodeEntry(e.Key.RecordName(), e.Encode()); err != nil || !reflect.DeepEqual(decoded, e) {
				t.Errorf("error %v, decoded %+v, want %+v", err, decoded, e)
			}
		}
	})
}
