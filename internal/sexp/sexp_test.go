package sexp

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// TestErrorPositions checks that the error for each invalid sample is one line with the position, the value that was
// found and the value that was expected.
func TestErrorPositions(t *testing.T) {
	for text, want := range map[string]string{
		"(a":                    "f:1:1: found the end of the file, want the ) that closes this list",
		"(a))":                  "f:1:4: found ) without a matching (",
		"a":                     "f:1:1: found a, want a form in parentheses",
		"(a \"b":                "f:1:4: found the end of the file, want the \" that closes this string",
		"(a \"\\q\")":           "f:1:5: found \\q, want",
		"(a \xff)":              "f:1:4: found the byte 0xff, want text in UTF-8",
		"; ok\n (time 3)":       "f:2:8: found 3 in (time ...), want a time with its unit, such as 250ms or 2s",
		"(time 3parsec)":        "f:1:7: found 3parsec in (time ...), want a time with its unit",
		"(time 3MB)":            "f:1:7: found 3MB in (time ...), want a time with its unit",
		"(time -3s)":            "f:1:7: found -3s",
		"(time \"3s\")":         "f:1:7: found \"3s\" in (time ...)",
		"(time 1h)":             "f:1:7: found 1h in (time ...), want 1ms to 1m",
		"(time 1s 2s)":          "f:1:1: (time ...) has 2 values, want one",
		"(time (x))":            "f:1:7: found (x ...), want a time",
		"(size 3ms)":            "f:1:7: found 3ms in (size ...), want a size with its unit, such as 64kB or 16MB",
		"(size 1e3kB)":          "f:1:7: found 1e3kB in (size ...), want a size",
		"(size 99GiB)":          "f:1:7: found 99GiB in (size ...), want 1B to 1GB",
		"(name \"\")":           "f:1:7: found an empty text in (name ...), want a non-empty text",
		"(nmae x)":              "f:1:1: found (nmae ...), want name, size, time",
		"(\"x\")":               "f:1:1: found a list, want a form such as (name ...)",
		"(name a)\n\n(name b)":  "f:3:1: (name ...) is given twice, first at f:1:1",
		strings.Repeat("(", 99): "lists are nested more than 64 deep",
	} {
		_, err := parseSample(text)
		var posErr *Error
		if !errors.As(err, &posErr) || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: error %v, want %q", text, err, want)
		}
	}
}

// sampleValues holds the fields of a sample.
type sampleValues struct {
	name string
	wait time.Duration
	size int64
}

// parseSample parses a sample and reads its fields.
func parseSample(text string) (v sampleValues, err error) {
	forms, err := Parse("f", []byte(text))
	if err != nil {
		return v, err
	}
	return v, ReadFields(forms, map[string]func(Node) error{"name": Text(&v.name),
		"time": Duration(&v.wait, time.Millisecond, time.Minute), "size": Bytes(&v.size, 1, 1e9)})
}

// TestUnits checks that numbers with units are read, with comments between the forms and escapes in strings.
func TestUnits(t *testing.T) {
	for text, want := range map[string]sampleValues{
		"(time 1.5s) ; a comment\n(size 64kB)(name x)": {"x", 1500 * time.Millisecond, 64000},
		"(size 2MiB) (name \"a \\\"b\\\" \\\\ \\n\")":  {"a \"b\" \\ \n", 0, 2 << 20},
		"(time 250ms)(size 7B)":                        {"", 250 * time.Millisecond, 7},
	} {
		if got, err := parseSample(text); err != nil || got != want {
			t.Errorf("%q: values %+v, error %v, want %+v", text, got, err, want)
		}
	}
}

// FuzzParse checks that parsing any text does not panic, and that every error has a position on a line of the text.
func FuzzParse(f *testing.F) {
	for _, text := range []string{"(a b (c \"d\") 3ms) ; e", "(a", "\"\\", "(((", "(time 3s)(time 4s)"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		_, err := parseSample(text)
		var posErr *Error
		if err != nil && (!errors.As(err, &posErr) || posErr.Pos.Line < 1 || posErr.Pos.Line > strings.Count(text, "\n")+1) {
			t.Errorf("error %v, want one with a position in the text", err)
		}
	})
}
