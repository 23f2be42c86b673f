package call

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/uptime"
)

// Kind says how often a call may be executed.
type Kind uint8

// The kinds of calls.
const (
	Idempotent Kind = iota // may be executed any number of times
	AtMostOnce             // may be executed at most once
	Stream                 // responds with events; may be executed at most once unless it can be resumed
)

func (k Kind) String() string {
	if k > Stream {
		return "unknown"
	}
	return [...]string{"idempotent", "once", "stream"}[k]
}

// HeaderField is one header field.
type HeaderField struct {
	Name  string
	Value string
}

// Call is one call of a client. It is not modified once it is being served.
type Call struct {
	ID            ident.Request
	Method        string
	Host          string
	Path          string // without the query
	Target        string // path and query, unmodified
	HeaderFields  []HeaderField
	Body          []byte
	APIKey        string        // the client's API key; empty: none
	ClientTimeout time.Duration // client timeout, counted from Arrived; zero: not given
	LastEventID   string        // identifier of the last event that the client received; empty: none
	Resumes       ident.Request // attempt of the client that brought the first event of the stream that it takes up; empty: it takes up none
	Prompt        *Prompt       // nil: not a generation
	PromptParts   []Part        // parts of the prompt in order, the last of which is the request's own

	Arrived       time.Time
	ArrivedUptime uptime.Instant // arrival time by the clock that includes suspensions of the VM
}

// Prompt describes the model and the size of a generation.
type Prompt struct {
	Model      string
	Tokens     int // of the prompt
	MaxTokens  int // maximum number of generated tokens
	LengthHint int // the client's estimate of the number of generated tokens; zero: none
}

// Part is a section of a prompt that other prompts may share.
type Part struct {
	ID     string
	Tokens int // zero: not known
}

// ExpectedMemory returns the memory, in tokens, that the generation is expected to use at its
// end. The number of generated tokens is taken from LengthHint, which about half of the
// generations exceed, and is at most MaxTokens.
func (p *Prompt) ExpectedMemory() int { return p.Tokens + p.ExpectedOutput() }

// ExpectedOutput returns the number of tokens that the generation is expected to generate.
func (p *Prompt) ExpectedOutput() int {
	if p.LengthHint > 0 {
		return min(p.LengthHint, p.MaxTokens)
	}
	return p.MaxTokens
}

// SharedParts returns the parts of the prompt that other requests may share: all but the last,
// which is the request's own.
func (c *Call) SharedParts() []Part { return c.PromptParts[:max(len(c.PromptParts)-1, 0)] }

// Fingerprint identifies a request by its method, workspace, host, target and body, or a part of
// prompts by its identifier and the service that reads it. A client's retry has another request
// identifier and the same fingerprint. Zero means that no fingerprint is known.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Fingerprint returns the call's fingerprint within a workspace, which is empty for a public
// route. It does not depend on the API key, because a workspace may change its keys.
func (c *Call) Fingerprint(ws ident.Workspace) Fingerprint {
	h := newFingerprint(c.Method, string(ws), c.Host, c.Target)
	_, _ = h.Write(c.Body)
	return Fingerprint(h.Sum64())
}

// PartFingerprints returns the fingerprints of the parts of the prompt that other requests to
// the service may share, in order.
func (c *Call) PartFingerprints(service ident.Service) []Fingerprint {
	var out []Fingerprint
	for _, p := range c.SharedParts() {
		out = append(out, Fingerprint(newFingerprint("prompt part", string(service), p.ID).Sum64()))
	}
	return out
}

// newFingerprint returns a hash of the parts.
func newFingerprint(parts ...string) *xxhash.Digest {
	h := xxhash.New()
	for _, s := range parts {
		_, _ = h.WriteString(s)      // never fails
		_, _ = h.Write([]byte{0xff}) // never occurs in UTF-8, so the parts are unambiguous
	}
	return h
}
