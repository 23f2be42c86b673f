package caller

import (
	"context"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/peer/openai"
)

// GenerationRequest is a client's request for a completion or chat completion.
type GenerationRequest struct {
	openai.Request
	Key            string      // bearer key
	Class          ident.Class // empty: the default class of the service
	IdempotencyKey string
}

// ResumeRequest is a request to resume an interrupted stream.
type ResumeRequest struct {
	Key    string // bearer key
	Handle string // resume handle, from the header Umberladder-Resume
	Next   uint64 // index of the first token to send
}

// PlainRequest is a client's call to a plain service.
type PlainRequest struct {
	Key            string // bearer key
	Service        ident.Service
	Method         string
	Path           string // path after the service name, including the query
	ContentType    string
	Body           []byte
	IdempotencyKey string
}

// PlainResponse is the complete response of a plain service.
type PlainResponse struct {
	Request     ident.Request
	Status      int
	ContentType string
	Body        []byte
}

// Stream is a generation in progress. Handle returns its resume handle. Next
// blocks until the next token. Close is called once, with whether the client
// disconnected before it got the complete response, and with the number of
// bytes sent.
type Stream interface {
	Request() ident.Request
	Service() ident.Service
	Chat() bool
	Handle() string
	Next() (openai.Token, *refuse.Refusal)
	Close(disconnected bool, bytes int)
}

// Handler serves the requests of clients. Every refusal it returns has its
// request identifier and time set.
type Handler interface {
	Stream(ctx context.Context, g GenerationRequest) (Stream, *refuse.Refusal)
	Generate(ctx context.Context, g GenerationRequest) (openai.Completion, *refuse.Refusal)
	Resume(ctx context.Context, r ResumeRequest) (Stream, *refuse.Refusal)
	Plain(ctx context.Context, p PlainRequest) (PlainResponse, *refuse.Refusal)
	Services(key string) ([]ident.Service, *refuse.Refusal)
	// RecordRefusal completes and records a refusal made while reading the request.
	RecordRefusal(r *refuse.Refusal) *refuse.Refusal
	// Code returns the code of a refusal. Explain returns the refusal of a code.
	Code(r *refuse.Refusal) string
	Explain(code string) (*refuse.Refusal, error)
	// Ready reports whether the load balancer should send clients to this VM.
	Ready() bool
}
