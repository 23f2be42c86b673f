// Package engine implements a fake model engine with continuous batching. Its
// step time grows with the batch, each token takes memory, and streams are
// preempted by priority when the memory is full. It has a bounded prefix cache,
// streams that can be resumed and cancelled, and load reports that lag.
//
// The prompt sets what a generation produces: "produce=<n> seed=<s> tag=<t>"
// yields n tokens that are derived from s. Each started generation is recorded
// under t, so that a test can check what ran. docs/ENGINE.md describes the
// protocol.
package engine
