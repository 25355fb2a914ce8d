// Package routeconfig parses, validates and formats the configuration of the router: classes, pools, servers and
// locations, as operators or the nginx importer write them. A configuration is parsed from S-expressions and formatted
// in one canonical form. Parsing the canonical form gives the same configuration again. docs/routes.md has the grammar.
//
// Configuration files use the operators' names, which can differ from the names in the code. This package is the only
// one that translates between them.
package routeconfig
