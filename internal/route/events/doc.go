// Package events reads the server-sent events of a stream from a backend server.
//
// It delivers complete events, byte for byte. If the connection breaks, an
// incomplete event at its end is dropped, so that the stream can continue from
// another server.
package events
