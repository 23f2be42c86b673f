// Package routes holds the routes, services and API keys in force.
//
// A Snapshot is immutable. A Current holds the newest Snapshot and the time at which
// it was known to be the newest. Neither its version nor that time ever decreases.
package routes
