// Package route finds the server and the location that a request belongs to, and applies rewrites, by the rules that
// nginx documents for server_name, location and rewrite. It does no I/O: a Table is built once from a description and is
// safe for concurrent lookups.
//
// Sources: the manual's ngx_http_core_module (server_name, location, merge_slashes), ngx_http_rewrite_module and
// "Server names".
package route
