// Package nginx reads nginx configurations, as far as they describe servers, locations and upstreams, and imports them as
// configurations of the router. What is not imported is reported as a Diagnostic with its position, the reason and how
// much it matters; nothing is dropped silently.
//
// The syntax is that of nginx's own parser (the manual's "Beginner's Guide" and the reference of directives): words,
// quotes, escapes, comments, blocks, and includes with globs.
package nginx
