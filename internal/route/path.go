package route

import (
	"errors"
	"strings"
)

// ErrInvalidPath says that a request's path can't be normalised: it is answered as a bad request.
var ErrInvalidPath = errors.New("route: the path makes no sense")

// NormalizePath turns a path as it was sent into the one that locations are matched against: %XX is decoded, "." and ".."
// are resolved, and adjacent slashes are merged where merge is set. What follows a "?" or "#" is left out. A path that
// does not begin with a slash, leads above the root, or has an incomplete or a zero escape is an error.
func NormalizePath(raw string, merge bool) (string, error) {
	if i := strings.IndexAny(raw, "?#"); i >= 0 {
		raw = raw[:i]
	}
	if raw == "" || raw[0] != '/' {
		return "", ErrInvalidPath
	}
	if isNormalized(raw) {
		return raw, nil
	}
	out := make([]byte, 0, len(raw))
	for i := 0; i < len(raw); {
		c := raw[i]
		i++
		if c == '%' {
			if i+2 > len(raw) || !isHex(raw[i]) || !isHex(raw[i+1]) {
				return "", ErrInvalidPath
			}
			c = fromHex(raw[i])<<4 | fromHex(raw[i+1])
			i += 2
			if c == 0 {
				return "", ErrInvalidPath
			}
		}
		if c != '/' {
			out = append(out, c)
			continue
		}
		var ok bool
		if out, ok = closeSegment(out, merge); !ok {
			return "", ErrInvalidPath
		}
	}
	return closeLastSegment(out)
}

// isNormalized tells whether nothing in the path needs to be changed.
func isNormalized(raw string) bool {
	for i := 0; i < len(raw); i++ {
		switch {
		case raw[i] == '%' || raw[i] == 0:
			return false
		case raw[i] == '/' && i+1 < len(raw) && (raw[i+1] == '/' || raw[i+1] == '.'):
			return false
		}
	}
	return true
}

// closeSegment adds a slash behind what is there: "." goes, ".." takes the segment before it along.
func closeSegment(out []byte, merge bool) ([]byte, bool) {
	start := lastSegment(out)
	switch segment := string(out[start:]); {
	case segment == "." && start > 0:
		return out[:start], true
	case segment == ".." && start > 0:
		return dropSegment(out, start)
	case merge && segment == "" && start > 0:
		return out, true
	}
	return append(out, '/'), true
}

// closeLastSegment resolves the last segment of a path.
func closeLastSegment(out []byte) (string, error) {
	start := lastSegment(out)
	switch string(out[start:]) {
	case ".":
		out = out[:start]
	case "..":
		up, ok := dropSegment(out, start)
		if !ok {
			return "", ErrInvalidPath
		}
		out = up
	}
	return string(out), nil
}

// lastSegment is the place behind the last slash.
func lastSegment(out []byte) int {
	for i := len(out); i > 0; i-- {
		if out[i-1] == '/' {
			return i
		}
	}
	return 0
}

// dropSegment is the path up to the slash before the segment that ends before start; above the root there is none.
func dropSegment(out []byte, start int) ([]byte, bool) {
	if start <= 1 {
		return out, false
	}
	return out[:lastSegment(out[:start-1])], true
}

func isHex(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

func fromHex(c byte) byte {
	switch {
	case c >= 'a':
		return c - 'a' + 10
	case c >= 'A':
		return c - 'A' + 10
	}
	return c - '0'
}
