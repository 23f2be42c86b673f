// Package openai parses request bodies and encodes response bodies of the OpenAI
// HTTP interface for completions and chat completions, streaming and unary, so
// that existing client libraries work unchanged. Unknown members are ignored,
// because new ones are added to that interface.
package openai
