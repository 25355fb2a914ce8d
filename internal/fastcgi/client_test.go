package fastcgi

import (
	"errors"
	"strings"
	"testing"

	"tillerusher/internal/fake"
	"tillerusher/internal/gateway"
)

// encodeResponse returns a member's response with padding, a line for the log and a management record in between.
func encodeResponse(id uint16, text string) []byte {
	b := fake.EncodeRecord(fake.Stdout, id, []byte(text[:len(text)/2]), 3)
	b = append(b, fake.EncodeRecord(7, id, []byte("a warning"), 0)...)
	b = append(b, fake.EncodeRecord(fake.UnknownType, 0, make([]byte, 8), 0)...)
	b = append(b, fake.EncodeRecord(fake.Stdout, id, []byte(text[len(text)/2:]), 0)...)
	b = append(b, fake.EncodeRecord(fake.Stdout, id, nil, 0)...)
	return append(b, fake.EncodeRecord(fake.EndRequest, id, make([]byte, 8), 0)...)
}

// TestResponse reads a response wherever its bytes are split.
func TestResponse(t *testing.T) {
	whole := encodeResponse(7, "Status: 404 Not Found\r\nX-A: b: c\nY:\r\n\r\nthe body\n\n")
	for split := range whole {
		r := ResponseParser{RequestID: 7, MaxBytes: 1000}
		first, err := r.Feed(whole[:split])
		if err != nil || first {
			t.Fatalf("split at %d: %t, %v", split, first, err)
		}
		if second, err := r.Feed(whole[split:]); err != nil || !second {
			t.Fatalf("split at %d: %t, %v", split, second, err)
		}
		response, err := r.Response()
		if err != nil || response.Status != 404 || string(response.Body) != "the body\n\n" || len(response.Headers) != 2 ||
			response.Headers[0] != (gateway.Field{Name: "X-A", Value: "b: c"}) {
			t.Fatalf("split at %d: %+v, %v", split, response, err)
		}
	}
}

// TestInvalidResponses has errors in the stream and in the header.
func TestInvalidResponses(t *testing.T) {
	end := fake.EncodeRecord(fake.EndRequest, 1, make([]byte, 8), 0)
	for what, b := range map[string][]byte{
		"another request's": encodeResponse(2, "Status: 200\r\n\r\n"),
		"behind the end":    append(encodeResponse(1, "\r\nx"), end...),
		"too long":          fake.EncodeRecord(fake.Stdout, 1, make([]byte, 1001), 0),
		"an odd record":     fake.EncodeRecord(fake.Params, 1, []byte("x"), 0),
		"no FastCGI":        []byte("HTTP/1.1 200 OK\r\n\r\n"),
		"a short end":       fake.EncodeRecord(fake.EndRequest, 1, make([]byte, 4), 0),
	} {
		r := ResponseParser{RequestID: 1, MaxBytes: 1000}
		if _, err := r.Feed(b); !errors.Is(err, ErrResponse) {
			t.Errorf("%s: %v", what, err)
		}
	}
	for text, want := range map[string]string{"Status: 200\r\n": "no empty line", "nonsense\r\n\r\n": "header line",
		"Status: many\r\n\r\n": "status", "Status: 7\r\n\r\n": "status", "a b: c\r\n\r\n": "header line"} {
		r := ResponseParser{RequestID: 1, MaxBytes: 1000}
		if whole, err := r.Feed(encodeResponse(1, text)); !whole || err != nil {
			t.Fatal(err)
		}
		if _, err := r.Response(); !errors.Is(err, ErrResponse) || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// TestRequestRoundTrip has a session read what AppendRequest writes.
func TestRequestRoundTrip(t *testing.T) {
	long := strings.Repeat("x", 70_000)
	b := AppendRequest(nil, 9, []gateway.Field{{Name: "REQUEST_METHOD", Value: "POST"}, {Name: "SCRIPT_NAME", Value: "/a"},
		{Name: "REQUEST_URI", Value: "/a?b"}, {Name: "HTTP_X_LONG", Value: strings.Repeat("y", 200)}}, []byte(long))
	keeper := &requestKeeper{}
	s := NewProtocol(Limits{OpenRequests: 4, ParamBytes: 1 << 10, BodyBytes: 1 << 20, TotalBytes: 1 << 20, KeepParams: true})(keeper, keeper)
	if err := s.Feed(b); err != nil {
		t.Fatal(err)
	}
	request := keeper.request
	if request.Method != "POST" || request.Path != "/a" || request.URI != "/a?b" || len(request.Headers["x-long"]) != 200 || string(request.Body) != long ||
		request.Params["HTTP_X_LONG"] == "" {
		t.Errorf("read %s %s %s, %d fields, %d bytes", request.Method, request.Path, request.URI, len(request.Headers), len(request.Body))
	}
}

// requestKeeper keeps the request that a session passes to its handler.
type requestKeeper struct {
	gateway.Handler
	request gateway.Request
}

func (r *requestKeeper) Write([]byte) {}

func (r *requestKeeper) RequestReceived(_ gateway.Session, _ gateway.StreamID, q gateway.Request) {
	r.request = q
}

// FuzzResponse feeds any bytes without a panic.
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
			r.Response() // whatever it returns
		}
	})
}
