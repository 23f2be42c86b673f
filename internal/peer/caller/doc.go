// Package caller serves the callers: the OpenAI-compatible HTTP interface for
// completions and chat completions, plain services under a path, resumption
// of a broken stream, and the explanation of refusal codes.
//
// It turns HTTP into the values of its Handler and back. Refusals are problem
// documents (RFC 9457). Every read and write has a deadline of its own, so a
// stream may last for ever while a caller that stops reading may not.
package caller
