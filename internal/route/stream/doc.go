// Package stream forwards the events of streaming calls from engines to clients
// as they arrive.
//
// A stream whose engine retires or fails migrates to another engine with a copy of
// its KV cache. Two engines never run the same stream at the same time.
package stream
