// Package admit estimates how much of an engine's memory a generation will need soon,
// and how long the generation may wait for that memory.
package admit
