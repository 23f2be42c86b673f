// Package port defines the interfaces between the relay and its surroundings: the
// response to the client, the backend servers and the settings.
package port
