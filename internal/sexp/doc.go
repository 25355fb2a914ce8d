// Package sexp parses the language of the operators' files: S-expressions in which each node has its file, line and
// column. It reads the fields of a form with a table of functions, and checks the units and bounds of numbers.
//
// The grammar:
//
//	file    = { form }
//	form    = "(" name { value } ")"
//	value   = atom | string | form
//	atom    = any characters except white space, quote, semicolon and parentheses
//	string  = '"' any characters, with \" \\ \n and \t '"'
//	comment = ";" up to the end of the line
package sexp
