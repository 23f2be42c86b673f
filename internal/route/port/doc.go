// Package port says what the relay asks of the sides it stands between: the
// client's reply, the backend servers and the settings.
package port
