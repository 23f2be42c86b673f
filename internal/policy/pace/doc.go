// Package pace learns how fast each engine makes tokens, from the streams that
// run there.
//
// Engines of one service differ in speed, and a long stream is done the sooner
// the faster its engine is. No engine says how fast it is: what a VM sees of
// its own streams it tells the others. What is learnt holds for one start of an
// engine only.
package pace
