// Package route finds the virtual server and the location of a request, and applies rewrites. It follows the rules that
// nginx documents for server_name, location and rewrite. The package does no I/O. A Table is built once from a list of
// servers and is safe for concurrent lookups.
//
// Sources: the pages ngx_http_core_module (server_name, location, merge_slashes), ngx_http_rewrite_module and
// "Server names" of the nginx manual.
package route
