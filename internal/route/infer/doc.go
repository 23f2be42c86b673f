// Package infer runs generations on engines and delivers their tokens.
//
// A Stream delivers each token once, in order, and all from one generation. After
// a broken connection it resumes at the next token. If the engine is lost, the
// generation is run again on another engine, but only while no token has reached
// the client and the call may be repeated; otherwise the stream ends with a refusal
// that states how much of it ran.
package infer
