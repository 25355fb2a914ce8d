package fastcgi

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
)

// recordLog is a recordHandler that logs its calls.
type recordLog struct {
	text strings.Builder
	body []byte
}

func (l *recordLog) content(_ recordHeader, p []byte) { l.body = append(l.body, p...) }

func (l *recordLog) endRecord(h recordHeader) error {
	fmt.Fprintf(&l.text, "%d/%d:%q ", h.recordType, h.requestID, l.body)
	l.body = l.body[:0]
	return nil
}

// TestRecordReaderSplits feeds the same records split at every position, and byte by byte.
func TestRecordReaderSplits(t *testing.T) {
	stream := appendHeader(nil, typeParams, 7, 0)
	padded := appendHeader(nil, typeStdin, 258, 3)
	padded[6] = 5
	stream = append(append(append(stream, padded...), "abc"...), 0, 0, 0, 0, 0)
	empty := appendHeader(nil, typeStdin, 7, 0)
	empty[6] = 1 // padding without content
	stream = append(append(stream, empty...), 0)
	stream = append(appendHeader(stream, typeBeginRequest, 1, 2), "xy"...)
	const want = `4/7:"" 5/258:"abc" 5/7:"" 1/1:"xy" `
	for cut := 0; cut <= len(stream); cut++ {
		var reader recordReader
		var log recordLog
		for _, p := range [][]byte{stream[:cut], stream[cut:]} {
			if err := reader.feed(p, &log); err != nil {
				t.Fatal(err)
			}
		}
		if got := log.text.String(); got != want {
			t.Fatalf("split at %d: got %s, want %s", cut, got, want)
		}
	}
	var reader recordReader
	var log recordLog
	for i := range stream {
		if err := reader.feed(stream[i:i+1], &log); err != nil {
			t.Fatal(err)
		}
	}
	if got := log.text.String(); got != want {
		t.Errorf("byte by byte: got %s, want %s", got, want)
	}
}

// TestRecordVersion rejects a record with an unknown version.
func TestRecordVersion(t *testing.T) {
	var reader recordReader
	if err := reader.feed([]byte{2, 1, 0, 1, 0, 0, 0, 0}, &recordLog{}); err == nil {
		t.Error("a record of version 2 was accepted")
	}
}

// TestParsePairs covers both encodings of a length and truncated lists.
func TestParsePairs(t *testing.T) {
	long := strings.Repeat("v", 300)
	list := appendPair(appendPair(appendPair(nil, "A", "1"), "LONG", long), long, "")
	var got []string
	record := func(name, value []byte) { got = append(got, string(name)+"="+string(value)) }
	if err := parsePairs(list, record); err != nil {
		t.Fatal(err)
	}
	if want := []string{"A=1", "LONG=" + long, long + "="}; fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("pairs %q, want %q", got, want)
	}
	for cut := 1; cut < len(list); cut++ {
		if cut == 4 || cut == 4+1+4+4+300 {
			continue // between two pairs
		}
		if err := parsePairs(list[:cut], func(_, _ []byte) {}); !errors.Is(err, errTruncatedPair) {
			t.Fatalf("list truncated at %d: error %v, want errTruncatedPair", cut, err)
		}
	}
	// Lengths near the maximum must not be read as small ones.
	if err := parsePairs([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 'x'}, record); !errors.Is(err, errTruncatedPair) {
		t.Errorf("huge lengths: error %v, want errTruncatedPair", err)
	}
}

// TestAppendStream checks that content longer than a record is split into several records.
func TestAppendStream(t *testing.T) {
	content := bytes.Repeat([]byte("0123456789"), 14000)
	var reader recordReader
	var got []byte
	ends := 0
	handler := handlerFuncs{func(p []byte) { got = append(got, p...) }, func(recordHeader) { ends++ }}
	if err := reader.feed(appendStream(nil, typeStdout, 9, content), handler); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, content) || ends != 4 {
		t.Errorf("%d bytes in %d records, want %d in 4", len(got), ends, len(content))
	}
}

// handlerFuncs implements recordHandler with two functions.
type handlerFuncs struct {
	onContent func(p []byte)
	onEnd     func(h recordHeader)
}

func (f handlerFuncs) content(_ recordHeader, p []byte) { f.onContent(p) }

func (f handlerFuncs) endRecord(h recordHeader) error {
	f.onEnd(h)
	return nil
}
