// Package routeconfig owns the configuration of the router: classes, pools, servers and locations as operators write
// them, or as the nginx importer does. A configuration is read from S-expressions and written in one canonical form, and
// reading that again gives the same configuration. docs/routes.md states the grammar.
//
// Names in the files are those of the operators' language; this package is the one place that translates them to the
// names of the code.
package routeconfig
