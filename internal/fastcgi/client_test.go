package fastcgi

import (
	"errors"
	"strings"
	"testing"

	"tillerusher/internal/fake"
	"tillerusher/internal/gateway"
)

// encodeResponse encodes a member's response whose STDOUT stream is interrupted by a STDERR record and a management
// record. The first record has padding.
func encodeResponse(id uint16, text string) []byte {
	b := fake.EncodeRecord(fake.Stdout, id, []byte(text[:len(text)/2]), 3)
	b = append(b, fake.EncodeRecord(7, id, []byte("a warning"), 0)...)
	b = append(b, fake.EncodeRecord(fake.UnknownType, 0, make([]byte, 8), 0)...)
	b = append(b, fake.EncodeRecord(fake.Stdout, id, []byte(text[len(text)/2:]), 0)...)
	b = append(b, fake.EncodeRecord(fake.Stdout, id, nil, 0)...)
	return append(b, fake.EncodeRecord(fake.EndRequest, id, make([]byte, 8), 0)...)
}

// TestResponse parses a response that is split into two parts at each position.
func TestResponse(t *testing.T) {
	whole := encodeResponse(7, "Status: 404 Not Found\r\nX-A: b: c\nY:\r\n\r\nthe body\n\n")
	for split := range whole {
		r := ResponseParser{RequestID: 7, MaxBytes: 1000}
		first, err := r.Feed(whole[:split])
		if err != nil || first {
			t.Fatalf("split at %d: first part complete %t, error %v", split, first, err)
		}
		if second, err := r.Feed(whole[split:]); err != nil || !second {
			t.Fatalf("split at %d: second part complete %t, error %v", split, second, err)
		}
		response, err := r.Response()
		if err != nil || response.Status != 404 || string(response.Body) != "the body\n\n" || len(response.Headers) != 2 ||
			response.Headers[0] != (gateway.Field{Name: "X-A", Value: "b: c"}) {
			t.Fatalf("split at %d: response %+v, error %v", split, response, err)
		}
	}
}

// TestInvalidResponses rejects responses with errors in the records and in the CGI header.
func TestInvalidResponses(t *testing.T) {
	end := fake.EncodeRecord(fake.EndRequest, 1, make([]byte, 8), 0)
	for name, b := range map[string][]byte{
		"record of another request":     encodeResponse(2, "Status: 200\r\n\r\n"),
		"record after the end":          append(encodeResponse(1, "\r\nx"), end...),
		"response longer than MaxBytes": fake.EncodeRecord(fake.Stdout, 1, make([]byte, 1001), 0),
		"unexpected record type":        fake.EncodeRecord(fake.Params, 1, []byte("x"), 0),
		"not FastCGI":                   []byte("HTTP/1.1 200 OK\r\n\r\n"),
		"short END_REQUEST":             fake.EncodeRecord(fake.EndRequest, 1, make([]byte, 4), 0),
	} {
		r := ResponseParser{RequestID: 1, MaxBytes: 1000}
		if _, err := r.Feed(b); !errors.Is(err, ErrResponse) {
			t.Errorf("%s: error %v, want ErrResponse", name, err)
		}
	}
	for text, want := range map[string]string{"Status: 200\r\n": "no empty line", "nonsense\r\n\r\n": "header line",
		"Status: many\r\n\r\n": "status", "Status: 7\r\n\r\n": "status", "a b: c\r\n\r\n": "header line"} {
		r := ResponseParser{RequestID: 1, MaxBytes: 1000}
		if whole, err := r.Feed(encodeResponse(1, text)); !whole || err != nil {
			t.Fatal(err)
		}
		if _, err := r.Response(); !errors.Is(err, ErrResponse) || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want ErrResponse with %q", text, err, want)
		}
	}
}

// TestRequestRoundTrip checks that a session parses a request that AppendRequest encoded.
func TestRequestRoundTrip(t *testing.T) {
	long := strings.Repeat("x", 70_000)
	b := AppendRequest(nil, 9, []gateway.Field{{Name: "REQUEST_METHOD", Value: "POST"}, {Name: "SCRIPT_NAME", Value: "/a"},
		{Name: "REQUEST_URI", Value: "/a?b"}, {Name: "HTTP_X_LONG", Value: strings.Repeat("y", 200)}}, []byte(long))
	recorder := &requestRecorder{}
	s := NewProtocol(Limits{OpenRequests: 4, ParamBytes: 1 << 10, BodyBytes: 1 << 20, TotalBytes: 1 << 20,
		KeepParams: true})(recorder, recorder)
	if err := s.Feed(b); err != nil {
		t.Fatal(err)
	}
	request := recorder.request
	if request.Method != "POST" || request.Path != "/a" || request.URI != "/a?b" || len(request.Headers["x-long"]) != 200 || string(request.Body) != long ||
		request.Params["HTTP_X_LONG"] == "" {
		t.Errorf("parsed request %s %s %s with %d headers and a body of %d bytes",
			request.Method, request.Path, request.URI, len(request.Headers), len(request.Body))
	}
}

// requestRecorder is the handler and the output of a session. It records the last request and discards the output.
type requestRecorder struct {
	gateway.Handler
	request gateway.Request
}

func (r *requestRecorder) Write([]byte) {}

func (r *requestRecorder) RequestReceived(_ gateway.Session, _ gateway.StreamID, q gateway.Request) {
	r.request = q
}

// FuzzResponse checks that ResponseParser does not panic for any input.
func FuzzResponse(f *testing.F) {
	f.Add(encodeResponse(1, "Status: 200\r\n\r\nx"), 5)
	f.Add([]byte{1, 3, 0, 1, 0, 8, 0, 0}, 0)
	f.Fuzz(func(t *testing.T, b []byte, split int) {
		r := ResponseParser{RequestID: 1, MaxBytes: 1000}
		split = min(max(split, 0), len(b))
		if _, err := r.Feed(b[:split]); err != nil {
			return
		}
		if whole, err := r.Feed(b[split:]); err == nil && whole {
			r.Response() // must not panic
		}
	})
}
