package sexp

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// ReadFields reads the forms in a list, each at most once: what a name means is said by the function under it. Names
// that are not known are errors that say which ones are.
func ReadFields(forms []Node, fields map[string]func(form Node) error) error {
	return ReadForms(forms, fields, nil)
}

func sortedNames(fields map[string]func(Node) error) []string {
	list := make([]string, 0, len(fields))
	for name := range fields {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// singleValue is the only value of a form.
func singleValue(form Node, want string) (Node, error) {
	args := form.Args()
	if len(args) != 1 {
		return Node{}, Errorf(form.Pos, "(%s ...) has %d values, want one: %s", form.Name(), len(args), want)
	}
	if args[0].Kind == List {
		return Node{}, Errorf(args[0].Pos, "found %v, want %s", args[0], want)
	}
	return args[0], nil
}

// Text returns a function for Fields that reads one text into a variable.
func Text(to *string) func(Node) error {
	return func(form Node) error {
		n, err := singleValue(form, "a text")
		if err == nil && n.Text == "" {
			err = Errorf(n.Pos, "found an empty text in (%s ...), want some", form.Name())
		}
		*to = n.Text
		return err
	}
}

// Duration returns a function for Fields that reads one time with its unit, such as 250ms, within bounds.
func Duration(to *time.Duration, least, most time.Duration) func(Node) error {
	return func(form Node) error {
		return readQuantity(form, durationUnits, "a time with its unit, such as 250ms or 2s", float64(least), float64(most),
			func(v float64) { *to = time.Duration(v) })
	}
}

// Bytes returns a function for Fields that reads one size with its unit, such as 16MB, within bounds.
func Bytes(to *int64, least, most int64) func(Node) error {
	return func(form Node) error {
		return readQuantity(form, sizeUnits, "a size with its unit, such as 64kB or 16MB", float64(least), float64(most),
			func(v float64) { *to = int64(v) })
	}
}

// unit is a unit and how many of the base it is.
type unit struct {
	name   string
	factor float64
}

// The units, largest first. Sizes are decimal where they are called kB, MB and GB, and binary as KiB, MiB, GiB.
var (
	durationUnits = []unit{{"h", 3600e9}, {"m", 60e9}, {"s", 1e9}, {"ms", 1e6}, {"us", 1e3}}
	sizeUnits     = []unit{{"GiB", 1 << 30}, {"GB", 1e9}, {"MiB", 1 << 20}, {"MB", 1e6}, {"KiB", 1 << 10}, {"kB", 1e3}, {"B", 1}}
)

// readQuantity reads one figure with its unit. Its digits are whole numbers or decimals; it must come to whole bases.
func readQuantity(form Node, units []unit, want string, least, most float64, set func(float64)) error {
	n, err := singleValue(form, want)
	if err != nil {
		return err
	}
	digits := strings.TrimRight(n.Text, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")
	name := n.Text[len(digits):]
	i := slices.IndexFunc(units, func(u unit) bool { return u.name == name })
	value, err := strconv.ParseFloat(digits, 64)
	if err != nil || i < 0 || n.Kind != Atom || strings.Trim(digits, "0123456789.") != "" {
		return Errorf(n.Pos, "found %v in (%s ...), want %s", n, form.Name(), want)
	}
	value = math.Round(value * units[i].factor)
	if value < least || value > most {
		return Errorf(n.Pos, "found %v in (%s ...), want %s to %s", n, form.Name(), formatQuantity(least, units),
			formatQuantity(most, units))
	}
	set(value)
	return nil
}

// formatQuantity writes a figure in the largest unit of which it is a whole number.
func formatQuantity(v float64, units []unit) string {
	for _, u := range units {
		if n := v / u.factor; n >= 1 && n == math.Trunc(n) {
			return strconv.FormatFloat(n, 'f', -1, 64) + u.name
		}
	}
	return strconv.FormatFloat(v, 'f', -1, 64) + units[len(units)-1].name
}
