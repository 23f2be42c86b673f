// Package routes holds the routes, services and API keys in force.
//
// A Snapshot never changes. A Book holds the newest one and the moment at
// which it was known to be the newest; its version only rises, and that moment
// only moves forward.
package routes
