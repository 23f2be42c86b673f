// Package place chooses the engine for one generation among the engines that a VM
// knows. It keeps no state of the engines: their state is passed in by the caller.
//
// PredictedLoad, the default, admits a generation to an engine only if the predicted
// memory of all its streams exceeds the engine's memory with at most the service's
// overflow probability. It prefers the engine that has the prompt's prefix in its KV
// cache. The other policies are baselines for comparison.
package place
