package fastcgi

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
)

// recordLog is a sink that writes down what it is told.
type recordLog struct {
	text strings.Builder
	body []byte
}

func (c *recordLog) content(_ recordHeader, p []byte) { c.body = append(c.body, p...) }

func (c *recordLog) endRecord(r recordHeader) error {
	fmt.Fprintf(&c.text, "%d/%d:%q ", r.recordType, r.requestID, c.body)
	c.body = c.body[:0]
	return nil
}

// TestRecordReaderSplits feeds the same records split at every place, and one byte at a time.
func TestRecordReaderSplits(t *testing.T) {
	stream := appendHeader(nil, typeParams, 7, 0)
	padded := appendHeader(nil, typeStdin, 258, 3)
	padded[6] = 5
	stream = append(append(append(stream, padded...), "abc"...), 0, 0, 0, 0, 0)
	empty := appendHeader(nil, typeStdin, 7, 0)
	empty[6] = 1 // drawPadding without content
	stream = append(append(stream, empty...), 0)
	stream = append(appendHeader(stream, typeBeginRequest, 1, 2), "xy"...)
	const want = `4/7:"" 5/258:"abc" 5/7:"" 1/1:"xy" `
	for cut := 0; cut <= len(stream); cut++ {
		var ps recordReader
		var c recordLog
		for _, p := range [][]byte{stream[:cut], stream[cut:]} {
			if err := ps.feed(p, &c); err != nil {
				t.Fatal(err)
			}
		}
		if got := c.text.String(); got != want {
			t.Fatalf("cut at %d: %s, want %s", cut, got, want)
		}
	}
	var ps recordReader
	var c recordLog
	for i := range stream {
		if err := ps.feed(stream[i:i+1], &c); err != nil {
			t.Fatal(err)
		}
	}
	if got := c.text.String(); got != want {
		t.Errorf("byte by byte: %s, want %s", got, want)
	}
}

func TestRecordVersion(t *testing.T) {
	var ps recordReader
	if err := ps.feed([]byte{2, 1, 0, 1, 0, 0, 0, 0}, &recordLog{}); err == nil {
		t.Error("a record of version 2 was taken")
	}
}

// TestParsePairs covers both forms of a length and lists that end in the middle.
func TestParsePairs(t *testing.T) {
	long := strings.Repeat("v", 300)
	list := appendPair(appendPair(appendPair(nil, "A", "1"), "LONG", long), long, "")
	var got []string
	take := func(name, value []byte) { got = append(got, string(name)+"="+string(value)) }
	if err := parsePairs(list, take); err != nil {
		t.Fatal(err)
	}
	if want := []string{"A=1", "LONG=" + long, long + "="}; fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("pairs %q", got)
	}
	for cut := 1; cut < len(list); cut++ {
		if cut == 4 || cut == 4+1+4+4+300 {
			continue // between two pairs
		}
		if err := parsePairs(list[:cut], func(_, _ []byte) {}); !errors.Is(err, errTruncatedPair) {
			t.Fatalf("list cut at %d: %v", cut, err)
		}
	}
	// A length near the end of the range must not be taken for a small one.
	if err := parsePairs([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 'x'}, take); !errors.Is(err, errTruncatedPair) {
		t.Errorf("huge lengths: %v", err)
	}
}

// TestAppendStream cuts content that is longer than a record.
func TestAppendStream(t *testing.T) {
	content := bytes.Repeat([]byte("0123456789"), 14000)
	var ps recordReader
	var got []byte
	ends := 0
	sink := handlerFuncs{func(p []byte) { got = append(got, p...) }, func(r recordHeader) { ends++ }}
	if err := ps.feed(appendStream(nil, typeStdout, 9, content), sink); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, content) || ends != 4 {
		t.Errorf("%d bytes in %d records, want %d in 4", len(got), ends, len(content))
	}
}

// handlerFuncs is a sink of two functions.
type handlerFuncs struct {
	onContent func(p []byte)
	onEnd     func(r recordHeader)
}

func (s handlerFuncs) content(_ recordHeader, p []byte) { s.onContent(p) }
func (s handlerFuncs) endRecord(r recordHeader) error   { s.onEnd(r); return nil }
