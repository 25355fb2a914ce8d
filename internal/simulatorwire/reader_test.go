package simulatorwire

import (
	"bytes"
	"encoding/hex"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"tillerusher/admission"
)

// decodeHex decodes words of hexadecimal digits. The word +N means N zero bytes.
func decodeHex(t *testing.T, text string) []byte {
	t.Helper()
	var out []byte
	for _, word := range strings.Fields(text) {
		if word[0] == '+' {
			n := 0
			for _, c := range word[1:] {
				n = n*10 + int(c-'0')
			}
			out = append(out, make([]byte, n)...)
			continue
		}
		b, err := hex.DecodeString(word)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, b...)
	}
	return out
}

// exampleBatch is the example batch in the description of the protocol.
const exampleBatch = `90bf68f501000000 c4000000 03000000
08 03000000 c4913a5d 640ad2557c3bf091 903a1c0000000000 00 001c4e0e00000000 0100 00000000 1100 192b6f0e 0000c441 001bb70000000000 0000203f +2
07 03000000 4d000000 04 52b81e3f 00004040 85ebd13e 0000f042 +38
09 05000000 192b6f0e +55`

// TestExampleBatch checks the decoding of the example batch, and that io.EOF follows it.
func TestExampleBatch(t *testing.T) {
	r := NewReader(bytes.NewReader(decodeHex(t, exampleBatch)))
	var b Batch
	if err := r.Next(&b); err != nil {
		t.Fatal(err)
	}
	if b.Now != 0x1f568bf90 || len(b.Events) != 3 {
		t.Fatalf("time %d and %d events, want time %d and 3 events", b.Now, len(b.Events), 0x1f568bf90)
	}
	want := admission.Request{ID: 0x5d3a91c4, ResourceID: 0x91f03b7c55d20a64, QueueingDelay: 1850 * time.Microsecond,
		RemainingTime: 240 * time.Millisecond, Caller: 17, RetryOf: 0x0e6f2b19, SizeKB: 24.5,
		Work: 12 * time.Millisecond}
	if got := b.Events[0].Request; !reflect.DeepEqual(got, want) {
		t.Errorf("request\n got %+v\nwant %+v", got, want)
	}
	timer := b.Events[1]
	if timer.TimerToken != 77 || len(timer.Gauges) != 4 || timer.Gauges[1] != 3 || timer.Gauges[3] != 120 {
		t.Errorf("timer event %+v, want token 77 and 4 gauges", timer)
	}
	if cancel := b.Events[2]; cancel.InstanceID != 5 || cancel.RequestID != 0x0e6f2b19 || cancel.Code != EventCancel {
		t.Errorf("third event %+v, want a cancel event of instance 5", cancel)
	}
	if err := r.Next(&b); err != io.EOF {
		t.Errorf("at the end of the input: error %v, want EOF", err)
	}
}

// TestEmptyBatchAndReply checks that a batch without events is decoded and that an empty reply is a header of zeros.
func TestEmptyBatchAndReply(t *testing.T) {
	var b Batch
	if err := NewReader(bytes.NewReader(decodeHex(t, "90bf68f501000000 04000000 00000000"))).Next(&b); err != nil || len(b.Events) != 0 {
		t.Errorf("empty batch: error %v, %d events, want none", err, len(b.Events))
	}
	var out bytes.Buffer
	if err := new(Reply).Flush(&out); err != nil || !bytes.Equal(out.Bytes(), make([]byte, 8)) {
		t.Errorf("empty reply: error %v, bytes %x, want 8 zero bytes", err, out.Bytes())
	}
}

// TestInvalidBatches checks the errors for truncated and invalid batches.
func TestInvalidBatches(t *testing.T) {
	for text, want := range map[string]string{
		"90bf68f5":                                                                "within a header",
		"90bf68f501000000 44000000 01000000 08":                                   "within a batch",
		"90bf68f501000000 04000000 01000000":                                      "do not fit",
		"90bf68f501000000 00000000 00000000":                                      "batch length 0, want 4 to 1073741828",
		"90bf68f501000000 44000000 01000000 63 +63":                               "unknown event code 99",
		"90bf68f501000000 44000000 01000000 05 01000000 01000000 07 +54":          "unknown outcome code 7",
		"90bf68f501000000 44000000 01000000 07 01000000 01000000 ff +54":          "gauges do not fit",
		"90bf68f501000000 44000000 01000000 01 01000000 +8 00000000 05000000 +43": "settings extend outside the tail",
	} {
		var b Batch
		err := NewReader(bytes.NewReader(decodeHex(t, text))).Next(&b)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want one with %q", text, err, want)
		}
	}
}
