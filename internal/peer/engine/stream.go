package engine

import (
	"io"
	"iter"

	"github.com/gravitational/trace"
	"github.com/tmaxmax/go-sse"
	"github.com/valyala/fastjson"

	"umberladder/internal/core/ident"
	"umberladder/internal/peer/httpc"
)

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of events.
const (
	Token   EventKind = iota // one token
	Paused                   // the engine preempted the generation: its memory was reclaimed
	Resumed                  // the generation has memory again
	Done                     // the generation is complete
)

// Event is one event of a stream.
type Event struct {
	Kind         EventKind
	Generation   ident.Generation
	Index        uint64 // Token: its index; Done: the number of tokens
	Text         string
	FinishReason string // Done: "stop" or "length"
}

// Stream is a connection that receives the events of a running generation.
type Stream struct {
	body   io.ReadCloser
	parser fastjson.Parser
}

// NewStream returns a stream that reads events from body.
func NewStream(body io.ReadCloser) *Stream { return &Stream{body: body} }

// Close closes the connection. The generation continues for its detach timeout.
func (s *Stream) Close() { _ = s.body.Close() }

// Events iterates over the events of the stream. It ends after Done or after the
// first error, which is always an *Error of kind Timeout, Interrupted or Invalid.
func (s *Stream) Events() iter.Seq2[Event, error] {
	return func(yield func(Event, error) bool) {
		for raw, err := range sse.Read(s.body, nil) {
			if err != nil {
				yield(Event{}, streamError(err))
				return
			}
			ev, err := s.decode(raw)
			if !yield(ev, err) || err != nil || ev.Kind == Done {
				return
			}
		}
		yield(Event{}, streamError(io.ErrUnexpectedEOF))
	}
}

func streamError(err error) *Error {
	if httpc.IsTimeout(err) {
		return &Error{Kind: Timeout, Err: err}
	}
	return &Error{Kind: Interrupted, Err: err}
}

func (s *Stream) decode(raw sse.Event) (Event, error) {
	v, err := s.parser.Parse(raw.Data)
	if err != nil {
		return Event{}, &Error{Kind: Invalid, Err: err}
	}
	ev := Event{Generation: ident.Generation(v.GetStringBytes("id"))}
	switch raw.Type {
	case "":
		ev.Index = v.GetUint64("index")
		ev.Text = string(v.GetStringBytes("text"))
	case "paused":
		ev.Kind = Paused
	case "resumed":
		ev.Kind = Resumed
	case "done":
		ev.Kind = Done
		ev.Index = v.GetUint64("tokens")
		ev.FinishReason = string(v.GetStringBytes("finish"))
	default:
		return Event{}, &Error{Kind: Invalid, Err: trace.BadParameter("unknown event type %q", raw.Type)}
	}
	return ev, nil
}
