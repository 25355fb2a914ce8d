// Package routing owns the description of routes and pools: what operators write, or the importer of nginx
// configurations writes for them. It is read from S-expressions and written in one canonical form, and reading that
// again gives the same description. docs/routes.md states the grammar.
package routeconfig
