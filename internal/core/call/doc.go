// Package call describes one call of a client: what it asks for, how long the
// client waits, and what may be repeated. It knows no protocol.
package call
