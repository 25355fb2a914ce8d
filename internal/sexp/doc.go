// Package sexp owns the language of the operators' files: S-expressions whose every part knows its file, line and column,
// forms whose fields are read by tables of functions, and numbers whose units and bounds are checked.
//
// The grammar:
//
//	file    = { form }
//	form    = "(" name { value } ")"
//	value   = atom | string | form
//	atom    = any characters but space, quote, semicolon and parentheses
//	string  = '"' any characters, with \" \\ \n and \t '"'
//	comment = ";" up to the end of the line
package sexp
