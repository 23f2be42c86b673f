// Package caller implements the HTTP server for clients of the API, which the
// settings call callers: the OpenAI-compatible interface for completions and
// chat completions, calls to plain services under a path, resumption of
// interrupted streams and explanation of refusal codes.
//
// It converts HTTP requests to calls of a Handler, and the results to HTTP
// responses. Refusals are sent as problem documents (RFC 9457). Every read and
// write has its own deadline, so that a stream may last indefinitely while a
// client that stops reading is disconnected.
package caller
