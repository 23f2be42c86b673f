package caller

import (
	"context"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/peer/openai"
)

// Generation is a caller's request for a generation.
type Generation struct {
	openai.Generation
	Key            string      // bearer key
	Class          ident.Class // empty: the service's
	IdempotencyKey string
}

// Resume asks to go on with a stream that broke off.
type Resume struct {
	Key    string
	Handle string
	Next   uint64 // first index the caller lacks
}

// Plain is a caller's call to a plain service.
type Plain struct {
	Key            string
	Service        ident.Service
	Method         string
	Path           string // after the service's name, with the query
	ContentType    string
	Body           []byte
	IdempotencyKey string
}

// Answer is a whole answer.
type Answer struct {
	Request     ident.Request
	Status      int
	ContentType string
	Body        []byte
}

// Stream is a generation that is under way. Close is called once, with
// whether the caller has the whole answer or is known to have left.
type Stream interface {
	Request() ident.Request
	Service() ident.Service
	Chat() bool
	Handle() string
	Next() (openai.Token, *refuse.Refusal)
	Close(left bool, bytes int)
}

// Handler serves what callers ask for. Every refusal it returns names its
// request and time.
type Handler interface {
	Stream(ctx context.Context, g Generation) (Stream, *refuse.Refusal)
	Whole(ctx context.Context, g Generation) (openai.Whole, *refuse.Refusal)
	Resume(ctx context.Context, r Resume) (Stream, *refuse.Refusal)
	Plain(ctx context.Context, p Plain) (Answer, *refuse.Refusal)
	Services(key string) ([]ident.Service, *refuse.Refusal)
	// Refuse completes a refusal made while reading the request.
	Refuse(r *refuse.Refusal) *refuse.Refusal
	// Code returns a refusal's code, Explain what a code says.
	Code(r *refuse.Refusal) string
	Explain(code string) (*refuse.Refusal, error)
	// Ready reports whether the balancer should send callers here.
	Ready() bool
}
