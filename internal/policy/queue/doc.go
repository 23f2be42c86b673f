// Package queue orders what waits for a place on an engine.
//
// Rank 0 goes before all else, first come first served: urgent calls are
// short and never wait behind long ones. Below it the earliest deadline goes
// first, where a deadline is the arrival plus the class's bound (Liu and
// Layland, Scheduling Algorithms for Multiprogramming, 1973). A class with a
// long bound is slowed, and still never starved, since every deadline comes.
package queue
