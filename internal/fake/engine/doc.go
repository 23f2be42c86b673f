// Package engine is a stand-in for a model engine: continuous batching with a
// step time that grows with the batch, memory that each token takes from,
// preemption by priority when it is full, a bounded prefix cache, resumable
// and cancellable streams, and load reports that lag.
//
// It produces what the prompt orders: "produce=<n> seed=<s> tag=<t>" yields n
// tokens that follow from s, and is recorded under t, so that a test can ask
// what ran. docs/ENGINE.md describes its protocol.
package engine
