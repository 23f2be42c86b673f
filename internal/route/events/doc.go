// Package events reads the events of a stream that comes from a backend server.
//
// It passes whole events on, byte for byte: what is left of an event that
// breaks off is dropped, so that the stream can go on from another server.
package events
