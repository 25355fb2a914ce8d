package sexp

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// unit is a unit of a quantity.
type unit struct {
	name   string
	factor float64 // the unit in base units
}

// quantity is a kind of value that is written as a number with a unit.
type quantity struct {
	units  []unit // from the largest to the smallest
	wanted string // describes a value in errors
}

// The quantities. The base unit of durations is the nanosecond, which has no notation; the base unit of sizes is the
// byte.
var (
	durations = quantity{
		units:  []unit{{"h", 3600e9}, {"m", 60e9}, {"s", 1e9}, {"ms", 1e6}, {"us", 1e3}},
		wanted: "a time with its unit, such as 250ms or 2s",
	}
	sizes = quantity{
		units:  []unit{{"GiB", 1 << 30}, {"GB", 1e9}, {"MiB", 1 << 20}, {"MB", 1e6}, {"KiB", 1 << 10}, {"kB", 1e3}, {"B", 1}},
		wanted: "a size with its unit, such as 64kB or 16MB",
	}
)

// Duration returns a function for ReadFields that reads one duration, such as 250ms. minimum and maximum are inclusive.
func Duration(to *time.Duration, minimum, maximum time.Duration) func(Node) error {
	return func(form Node) error {
		v, err := durations.read(form, float64(minimum), float64(maximum))
		if err == nil {
			*to = time.Duration(v)
		}
		return err
	}
}

// Bytes returns a function for ReadFields that reads one size in bytes, such as 16MB. minimum and maximum are inclusive.
func Bytes(to *int64, minimum, maximum int64) func(Node) error {
	return func(form Node) error {
		v, err := sizes.read(form, float64(minimum), float64(maximum))
		if err == nil {
			*to = int64(v)
		}
		return err
	}
}

// read returns the only value of a form in base units, rounded to an integer. The number may have a decimal point, but
// no sign and no exponent.
func (q quantity) read(form Node, minimum, maximum float64) (float64, error) {
	value, err := singleValue(form, q.wanted)
	if err != nil {
		return 0, err
	}
	digits := strings.TrimRightFunc(value.Text, isLetter)
	unitName := value.Text[len(digits):]
	i := slices.IndexFunc(q.units, func(u unit) bool { return u.name == unitName })
	number, err := strconv.ParseFloat(digits, 64)
	if err != nil || i < 0 || value.Kind != Atom || strings.Trim(digits, "0123456789.") != "" {
		return 0, Errorf(value.Pos, "found %v in (%s ...), want %s", value, form.Name(), q.wanted)
	}
	number = math.Round(number * q.units[i].factor)
	if number < minimum || number > maximum {
		return 0, Errorf(value.Pos, "found %v in (%s ...), want %s to %s", value, form.Name(), q.format(minimum), q.format(maximum))
	}
	return number, nil
}

// isLetter reports whether a character may occur in the name of a unit.
func isLetter(r rune) bool { return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' }

// format formats v base units in the largest unit in which v is a positive integer. Any other value is formatted
// unscaled with the name of the smallest unit, so a duration must be 0 or a multiple of 1us.
func (q quantity) format(v float64) string {
	for _, u := range q.units {
		if n := v / u.factor; n >= 1 && n == math.Trunc(n) {
			return strconv.FormatFloat(n, 'f', -1, 64) + u.name
		}
	}
	return strconv.FormatFloat(v, 'f', -1, 64) + q.units[len(q.units)-1].name
}
