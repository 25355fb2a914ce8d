package scgi

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"tillerusher/internal/gateway"
)

// TestRequest encodes the example of the specification, with params that must be skipped.
func TestRequest(t *testing.T) {
	got := AppendRequest(nil, []gateway.Field{{Name: "REQUEST_METHOD", Value: "POST"}, {Name: "CONTENT_LENGTH", Value: "9"},
		{Name: "REQUEST_URI", Value: "/deepthought"}, {Name: "ODD", Value: "a\x00b"}},
		[]byte("What is the answer to life?"))
	want := "70:CONTENT_LENGTH\x0027\x00SCGI\x001\x00REQUEST_METHOD\x00POST\x00REQUEST_URI\x00/deepthought\x00,What is the answer to life?"
	if string(got) != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestResponse parses random responses that are split at random places, and rejects a response that is truncated.
func TestResponse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "body")
		status := rapid.IntRange(100, 599).Draw(t, "status")
		var b bytes.Buffer
		io.WriteString(&b, "Status: "+strconv.Itoa(status)+" x\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\nX-A: b c\r\n\r\n")
		b.Write(body)
		whole := b.Bytes()
		end := rapid.IntRange(0, len(whole)).Draw(t, "end")
		r := &ResponseParser{MaxBytes: 1000}
		for at := 0; at < end; {
			n := rapid.IntRange(1, end-at).Draw(t, "n")
			if done, err := r.Feed(whole[at : at+n]); done || err != nil {
				t.Fatalf("complete %t before the end of the connection, error %v", done, err)
			}
			at += n
		}
		a, err := r.Response()
		if r.CompleteAtEOF() != (end > 0) || (err == nil) != (end == len(whole)) {
			t.Fatalf("%d of %d bytes: response %+v, error %v", end, len(whole), a, err)
		}
		if err == nil && (a.Status != status || !bytes.Equal(a.Body, body) || len(a.Headers) != 2) {
			t.Fatalf("response %+v", a)
		}
	})
}

// TestInvalidResponses rejects invalid responses and accepts unusual but valid ones.
func TestInvalidResponses(t *testing.T) {
	for text, want := range map[string]error{
		"":                                   ErrResponse,
		"Status: 200\r\n":                    ErrResponse,
		"HTTP/1.1 200 OK\r\n\r\n":            ErrResponse,
		"Status: 99\r\n\r\n":                 ErrResponse,
		"Content-Length: x\r\n\r\n":          ErrResponse,
		"Content-Length: 2\r\n\r\nabc":       ErrResponse,
		"Content-Length: -1\r\n\r\n":         ErrResponse,
		"Status: 204\n\n":                    nil,
		"\r\nonly a body":                    nil,
		"Content-Type: text/plain\r\n\r\nab": nil,
	} {
		r := &ResponseParser{MaxBytes: 100}
		if _, err := r.Feed([]byte(text)); err != nil {
			t.Fatal(err)
		}
		if _, err := r.Response(); !errors.Is(err, want) || want == nil && err != nil {
			t.Errorf("%q: error %v, want %v", text, err, want)
		}
	}
	r := &ResponseParser{MaxBytes: 100}
	if _, err := r.Feed(make([]byte, 101)); !errors.Is(err, ErrResponse) {
		t.Errorf("a response longer than MaxBytes: error %v, want ErrResponse", err)
	}
}
