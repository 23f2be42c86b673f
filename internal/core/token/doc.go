// Package token decides which tokens of a backend server's stream reach the
// caller, so that each does so once, in order and from one generation.
package token
