package sexp

import (
	"slices"
	"strconv"
	"strings"
)

// ReadFields calls fields[form.Name()] for each form, in the order of the forms. Each name may occur at most once.
// The error for an unknown name lists the known names.
func ReadFields(forms []Node, fields map[string]func(form Node) error) error {
	return ReadForms(forms, fields, nil)
}

// ReadForms reads forms like ReadFields. The names in once may occur at most once, and the names in repeated any number
// of times.
func ReadForms(forms []Node, once, repeated map[string]func(form Node) error) error {
	known := map[string]func(Node) error{}
	for name, read := range once {
		known[name] = read
	}
	for name, read := range repeated {
		known[name] = read
	}
	first := map[string]Pos{}
	for _, form := range forms {
		name := form.Name()
		if form.Kind != List || name == "" {
			return Errorf(form.Pos, "found %v, want a form such as (%s ...)", form, strings.Join(sortedNames(known), " ...) or ("))
		}
		read, isKnown := known[name]
		if !isKnown {
			return Errorf(form.Pos, "found (%s ...), want %s", name, strings.Join(sortedNames(known), ", "))
		}
		if pos, isDuplicate := first[name]; isDuplicate && once[name] != nil {
			return Errorf(form.Pos, "(%s ...) is given twice, first at %v", name, pos)
		}
		first[name] = form.Pos
		if err := read(form); err != nil {
			return err
		}
	}
	return nil
}

// sortedNames returns the names of fields in order, for messages.
func sortedNames(fields map[string]func(Node) error) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// singleValue returns the only value of a form, which must not be a list. wanted describes the value in errors.
func singleValue(form Node, wanted string) (Node, error) {
	args := form.Args()
	if len(args) != 1 {
		return Node{}, Errorf(form.Pos, "(%s ...) has %d values, want one: %s", form.Name(), len(args), wanted)
	}
	if args[0].Kind == List {
		return Node{}, Errorf(args[0].Pos, "found %v, want %s", args[0], wanted)
	}
	return args[0], nil
}

// Text returns a function for ReadFields that reads one non-empty text.
func Text(to *string) func(Node) error {
	return func(form Node) error {
		value, err := singleValue(form, "a text")
		if err == nil && value.Text == "" {
			err = Errorf(value.Pos, "found an empty text in (%s ...), want a non-empty text", form.Name())
		}
		*to = value.Text
		return err
	}
}

// OneOf returns a function for ReadFields that reads one word, which must be one of the choices.
func OneOf(to *string, choices ...string) func(Node) error {
	return func(form Node) error {
		wanted := strings.Join(choices, ", ")
		value, err := singleValue(form, wanted)
		if err == nil && !slices.Contains(choices, value.Text) {
			err = Errorf(value.Pos, "found %v in (%s ...), want %s", value, form.Name(), wanted)
		}
		*to = value.Text
		return err
	}
}

// Number returns a function for ReadFields that reads one number without a unit. minimum and maximum are inclusive.
func Number(to *float64, minimum, maximum float64) func(Node) error {
	return func(form Node) error {
		value, err := singleValue(form, "a number")
		if err != nil {
			return err
		}
		v, err := strconv.ParseFloat(value.Text, 64)
		if err != nil || value.Kind != Atom || !(v >= minimum && v <= maximum) {
			return Errorf(value.Pos, "found %v in (%s ...), want a number from %v to %v", value, form.Name(), minimum, maximum)
		}
		*to = v
		return nil
	}
}

// Int returns a function for ReadFields that reads one integer. minimum and maximum are inclusive.
func Int(to *int, minimum, maximum int) func(Node) error {
	return func(form Node) error {
		value, err := singleValue(form, "an integer")
		if err != nil {
			return err
		}
		v, err := strconv.Atoi(value.Text)
		if err != nil || value.Kind != Atom || v < minimum || v > maximum {
			return Errorf(value.Pos, "found %v in (%s ...), want an integer from %d to %d", value, form.Name(), minimum, maximum)
		}
		*to = v
		return nil
	}
}
