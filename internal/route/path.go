package route

import (
	"errors"
	"strings"
)

// ErrInvalidPath reports a path that can't be normalized. The response to such a request is 400 (Bad Request).
var ErrInvalidPath = errors.New("route: invalid path: want a leading slash, no .. above the root and no invalid or zero escape")

// NormalizePath converts a path as the client sent it to the form that locations are matched against. It decodes %XX,
// resolves "." and "..", and merges adjacent slashes if mergeSlashes is set. It removes everything from the first "?"
// or "#" on. It returns ErrInvalidPath if the path doesn't begin with a slash, leads above the root, or has an invalid
// escape or %00.
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

// isNormalized reports whether the path certainly needs no change. It returns false for some paths that need none, such
// as "/.a".
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

// closeSegment ends the last segment with a slash. It removes the segment if it is ".", or if it is empty and
// mergeSlashes is set. It removes ".." together with the segment before it, and returns false if that leads above the
// root.
func closeSegment(out []byte, mergeSlashes bool) ([]byte, bool) {
	start := lastSegmentStart(out)
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

// closeLastSegment resolves "." and ".." at the end of a path, where no slash follows.
func closeLastSegment(out []byte) (string, error) {
	start := lastSegmentStart(out)
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

// lastSegmentStart returns the index of the last segment, which begins after the last slash.
func lastSegmentStart(out []byte) int {
	for i := len(out); i > 0; i-- {
		if out[i-1] == '/' {
			return i
		}
	}
	return 0
}

// dropSegment removes the last segment, which begins at start, and the segment before it. It returns false if there is
// no segment before it, which is above the root.
func dropSegment(out []byte, start int) ([]byte, bool) {
	if start <= 1 {
		return out, false
	}
	return out[:lastSegmentStart(out[:start-1])], true
}

// escapeDigits is the number of hexadecimal digits after the % of an escape.
const escapeDigits = 2

// decodeEscape decodes the two hexadecimal digits at the start of a text. It returns false if the text doesn't begin
// with two of them or if their value is zero.
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
