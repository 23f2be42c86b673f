// Package whole serves calls that a plain server answers with one whole body.
//
// What may not repeat is written to one server at most, unless that server says
// that it did not run it.
package whole
