// Package room reckons how much of an engine's memory a generation takes soon,
// and how long it may wait for it.
package room
