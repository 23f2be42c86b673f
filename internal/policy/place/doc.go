// Package place chooses the engine for one generation among those that a VM
// knows. It is pure: what is known of the engines comes in as values.
//
// Predicted, the system's own way, lets a generation in where the memory that
// all streams are predicted to hold stays inside the engine's with the
// service's chance, and prefers the engine that has the prompt's prefix. The
// others are baselines, kept to be measured against.
package place
