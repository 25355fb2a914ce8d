// Package fastcgi implements FastCGI 1.0 for a responder (Session) and for its client (AppendRequest and ResponseParser).
// It has no sockets: the caller feeds it the bytes of a connection, and it writes records to an output or appends them to
// a buffer.
//
// Source: Mark R. Brown, "FastCGI Specification", Open Market, 29 April 1996. Section numbers in comments refer to this
// document unless they name another one.
package fastcgi
