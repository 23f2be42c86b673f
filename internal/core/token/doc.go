// Package token decides which tokens of a backend server's stream are relayed to the client,
// so that each is relayed exactly once, in order and from a single generation.
package token
