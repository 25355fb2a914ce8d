package route

import (
	"errors"
	"strings"
)

// ErrInvalidPath is a path that can't be normalized: the request is answered as a bad one.
var ErrInvalidPath = errors.New("route: the path makes no sense")

// NormalizePath turns a path as it was sent into the one that locations are matched against: %XX is decoded, "." and
// ".." are resolved, and adjacent slashes are merged if mergeSlashes is set. What follows a "?" or "#" is cut off. The
// error is ErrInvalidPath for a path that does not begin with a slash, leads above the root, or has an incomplete or a
// zero escape.
func NormalizePath(raw string, mergeSlashes bool) (string, error) {
	if end := strings.IndexAny(raw, "?#"); end >= 0 {
		raw = raw[:end]
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
			var ok bool
			if c, ok = decodeEscape(raw[i:]); !ok {
				return "", ErrInvalidPath
			}
			i += escapeDigits
		}
		if c != '/' {
			out = append(out, c)
			continue
		}
		var ok bool
		if out, ok = closeSegment(out, mergeSlashes); !ok {
			return "", ErrInvalidPath
		}
	}
	return closeLastSegment(out)
}

// isNormalized reports whether nothing in the path has to be changed.
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

// closeSegment adds a slash behind the last segment: "." is dropped, and ".." drops the segment before it. It returns
// false if that leads above the root.
func closeSegment(out []byte, mergeSlashes bool) ([]byte, bool) {
	start := lastSegment(out)
	switch segment := string(out[start:]); {
	case segment == "." && start > 0:
		return out[:start], true
	case segment == ".." && start > 0:
		return dropSegment(out, start)
	case mergeSlashes && segment == "" && start > 0:
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
		parent, ok := dropSegment(out, start)
		if !ok {
			return "", ErrInvalidPath
		}
		out = parent
	}
	return string(out), nil
}

// lastSegment returns where the last segment begins, behind the last slash.
func lastSegment(out []byte) int {
	for i := len(out); i > 0; i-- {
		if out[i-1] == '/' {
			return i
		}
	}
	return 0
}

// dropSegment returns the path up to the slash before the segment that ends before start, or false above the root.
func dropSegment(out []byte, start int) ([]byte, bool) {
	if start <= 1 {
		return out, false
	}
	return out[:lastSegment(out[:start-1])], true
}

// escapeDigits is how many hexadecimal digits follow a % in an escape.
const escapeDigits = 2

// decodeEscape returns the byte that the digits at the start of a text stand for, or false if it lacks them or if they
// are a zero.
func decodeEscape(text string) (byte, bool) {
	if len(text) < escapeDigits || !isHex(text[0]) || !isHex(text[1]) {
		return 0, false
	}
	c := fromHex(text[0])<<4 | fromHex(text[1])
	return c, c != 0
}

// isHex reports whether a character is a hexadecimal digit.
func isHex(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

// fromHex returns the value of a hexadecimal digit.
func fromHex(c byte) byte {
	switch {
	case c >= 'a':
		return c - 'a' + 10
	case c >= 'A':
		return c - 'A' + 10
	}
	return c - '0'
}
