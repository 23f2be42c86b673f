// Package openai reads and writes the bodies of the OpenAI HTTP interface for
// completions and chat completions, streamed and whole, so that existing
// client libraries work unchanged. Members that it does not know are ignored,
// as that interface grows.
package openai
