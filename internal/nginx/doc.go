// Package nginx parses nginx configurations and imports their servers, locations and upstreams into route
// configurations. Each directive that is not imported is reported as a Diagnostic with its position, the reason and a
// severity; nothing is dropped silently.
//
// The syntax is the syntax of nginx's own parser, as described in the "Beginner's Guide" and the directive reference of
// the nginx manual: words, quotes, escapes, comments, blocks, and includes with globs.
package nginx
