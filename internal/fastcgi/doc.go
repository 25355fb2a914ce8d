// Package fastcgi reads and writes FastCGI 1.0, as the Responder (Session) and as its client (AppendRequest and
// ResponseParser). It owns no sockets: bytes are fed to it, and it writes records to an output or appends them to a
// buffer.
//
// Source: Mark R. Brown, "FastCGI Specification", Open Market, 29 April 1996. Section numbers in comments are of that.
package fastcgi
