package caller

import (
	"context"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
)

// Generation is a caller's request for a generation.
type Generation struct {
	Key            string // bearer key
	Service        ident.Service
	Class          ident.Class // empty: the service's
	Prompt         string
	MaxTokens      int // zero: not bounded by the caller
	Stream         bool
	Chat           bool
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

// Whole is a whole generation.
type Whole struct {
	Request      ident.Request
	Text         string
	Finish       string
	PromptTokens int
	Tokens       int
}

// Token is one token of a stream, or its end.
type Token struct {
	Index  uint64
	Text   string
	Finish string // set at the end
}

// Stream is a generation that is under way. Close is called once, with
// whether the caller has the whole answer or is known to have left.
type Stream interface {
	Request() ident.Request
	Service() ident.Service
	Chat() bool
	Handle() string
	Next() (Token, *refuse.Refusal)
	Close(left bool, bytes int)
}

// Handler serves what callers ask for. Every refusal it returns names its
// request and time.
type Handler interface {
	Stream(ctx context.Context, g Generation) (Stream, *refuse.Refusal)
	Whole(ctx context.Context, g Generation) (Whole, *refuse.Refusal)
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
