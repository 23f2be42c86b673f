package call

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"umberladder/internal/core/awake"
	"umberladder/internal/core/ident"
)

// Kind says how often a call may run.
type Kind uint8

// The kinds.
const (
	Idempotent Kind = iota // may run any number of times
	Once                   // may run at most once
	Stream                 // answers with events; may run at most once unless it can be resumed
)

func (k Kind) String() string {
	if k > Stream {
		return "unknown"
	}
	return [...]string{"idempotent", "once", "stream"}[k]
}

// Field is one header field.
type Field struct {
	Name  string
	Value string
}

// Call is one call. Its fields are not changed once it is being served.
type Call struct {
	ID       ident.Request
	Method   string
	Host     string
	Path     string // without the query
	Target   string // path and query, byte for byte
	Fields   []Field
	Body     []byte
	Key      string        // the client's API key; empty: none
	Patience time.Duration // how long the client waits from Arrived on; zero: not said
	After    string        // identifier of the last event the client has; empty: none
	Prompt   *Prompt       // nil: not a generation

	Arrived time.Time
	Woken   awake.Instant // Arrived by the clock that counts suspensions
}

// Prompt sizes a generation.
type Prompt struct {
	Model  string
	Tokens int // of the prompt
	Limit  int // most tokens generated
	Hint   int // the client's estimate of the tokens generated; zero: none
	Parts  []Part
}

// Part is one part of a prompt that other prompts may share.
type Part struct {
	ID     string
	Tokens int
}

// Expected returns the memory, in tokens, that the generation is likely to
// take at its end. The hint is right at the median and bounded by the limit.
func (p *Prompt) Expected() int {
	out := p.Limit
	if p.Hint > 0 {
		out = min(p.Hint, p.Limit)
	}
	return p.Tokens + out
}

// Fingerprint identifies a request by its workspace, path and body. A client's retry has
// the same one under another identifier; zero: none is known.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Fingerprint returns the call's fingerprint as one of a workspace, which may change its
// keys; empty: the route is public.
func (c *Call) Fingerprint(w ident.Workspace) Fingerprint {
	d := xxhash.New()
	for _, s := range []string{c.Method, string(w), c.Host, c.Target} {
		_, _ = d.WriteString(s)      // never fails
		_, _ = d.Write([]byte{0xff}) // no byte of valid text: parts can't run together
	}
	_, _ = d.Write(c.Body)
	return Fingerprint(d.Sum64())
}
