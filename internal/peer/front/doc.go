// Package front serves HTTP/1.1 connections of clients, one exchange at a time
// and byte for byte.
//
// The head's codec is fasthttp's and the chunked coding the standard library's.
// The library's server is not used, because it does not tell a handler that
// the client has left, and because a stream that breaks off must not look
// complete. A request whose length can be read in two ways is refused and its
// connection closed.
package front
