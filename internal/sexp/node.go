package sexp

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Kind is the kind of a node.
type Kind uint8

// The kinds of nodes.
const (
	Atom Kind = iota
	String
	List
)

// Node is an atom, a string or a list.
type Node struct {
	Pos   Pos
	Kind  Kind
	Text  string // of an atom or a string
	Items []Node // of a list
}

// Name returns the first item of a list if it is an atom, otherwise "".
func (n Node) Name() string {
	if n.Kind == List && len(n.Items) > 0 && n.Items[0].Kind == Atom {
		return n.Items[0].Text
	}
	return ""
}

// Args returns the items of a list after the first one, which is the name of a form.
func (n Node) Args() []Node {
	if n.Kind != List || len(n.Items) == 0 {
		return nil
	}
	return n.Items[1:]
}

// WordAt returns the text of item i of a form, counted from 0 with the name. The item must be an atom or a non-empty
// string. wanted describes the item in errors.
func (n Node) WordAt(i int, wanted string) (string, error) {
	if i >= len(n.Items) {
		return "", Errorf(n.Pos, "(%s ...) ends early, want %s", n.Name(), wanted)
	}
	item := n.Items[i]
	if item.Kind == List || item.Text == "" {
		return "", Errorf(item.Pos, "found %v in (%s ...), want %s", item, n.Name(), wanted)
	}
	return item.Text, nil
}

// ItemsFrom returns the items of a form from index i on, or none if the form has fewer items.
func (n Node) ItemsFrom(i int) []Node { return n.Items[min(i, len(n.Items)):] }

// RequireNoArgs returns an error if the form has values.
func (n Node) RequireNoArgs() error {
	if args := n.Args(); len(args) > 0 {
		return Errorf(args[0].Pos, "found %v, want nothing in (%s)", args[0], n.Name())
	}
	return nil
}

// Float returns the value of an atom that is a finite number.
func (n Node) Float() (float64, error) {
	v, err := strconv.ParseFloat(n.Text, 64)
	if err != nil || n.Kind != Atom || math.IsNaN(v) || math.IsInf(v, 0) {
		return 0, Errorf(n.Pos, "found %v, want a number", n)
	}
	return v, nil
}

// String describes the node for messages.
func (n Node) String() string {
	switch {
	case n.Kind == List && n.Name() != "":
		return fmt.Sprintf("(%s ...)", n.Name())
	case n.Kind == List:
		return "a list"
	case n.Kind == String:
		return fmt.Sprintf("%q", n.Text)
	}
	return n.Text
}

// Source returns the node in the syntax that Parse reads. Strings are written as atoms if they are valid atoms.
func (n Node) Source() string {
	if n.Kind != List {
		return Quote(n.Text)
	}
	parts := make([]string, len(n.Items))
	for i, item := range n.Items {
		parts[i] = item.Source()
	}
	return "(" + strings.Join(parts, " ") + ")"
}

// del is the ASCII control character DEL, the only one above the space.
const del = 0x7f

// stringEscaper escapes the text of a string.
var stringEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`, "\t", `\t`)

// Quote returns a text as an atom if it is a valid atom, otherwise as a string in quotes.
func Quote(text string) string {
	needsQuotes := func(r rune) bool {
		return r <= ' ' || r == del || r == utf8.RuneError || strings.ContainsRune(`();"`, r)
	}
	if text != "" && !strings.ContainsFunc(text, needsQuotes) {
		return text
	}
	return `"` + stringEscaper.Replace(text) + `"`
}
