// Package front serves the HTTP/1.1 connections of clients. It handles one
// request at a time per connection and passes targets, header fields and bodies
// on unchanged.
//
// Header sections are parsed and written by fasthttp, the chunked transfer
// coding by the standard library. The fasthttp server is not used because it
// does not notify a handler that the client has disconnected, and because an
// interrupted stream must not look complete to the client. To prevent request
// smuggling, a request whose body length is ambiguous is refused and its
// connection closed.
package front
