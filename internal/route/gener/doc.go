// Package gener carries one generation from an engine to its caller.
//
// A Flight yields each token once, in order, and all from one generation. A
// broken link is resumed at the next token. A lost engine is replaced by a
// whole new run elsewhere, but only while no token has reached the caller and
// the call may be repeated; otherwise the flight ends in a refusal that says
// how much of it ran.
package gener
