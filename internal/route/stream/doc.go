// Package stream serves generations whose events are passed on as they come.
//
// A stream whose engine leaves or is lost goes on at another engine from a copy
// of its cache; two engines never work on it at the same time.
package stream
