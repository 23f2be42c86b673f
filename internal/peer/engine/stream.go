package engine

import (
	"io"
	"iter"

	"github.com/gravitational/trace"
	"github.com/tmaxmax/go-sse"
	"github.com/valyala/fastjson"

	"umberladder/internal/core/ident"
	"umberladder/internal/peer/link"
)

// Kind says what an event tells.
type Kind uint8

// The kinds of events.
const (
	Token   Kind = iota // one token
	Paused              // the engine took the stream's memory
	Resumed             // the stream has memory again
	Done                // the generation ended
)

// Event is one event of a stream.
type Event struct {
	Kind       Kind
	Generation ident.Generation
	Index      uint64 // of a token; of Done, how many tokens there were
	Text       string
	Finish     string // of Done: "stop" or "length"
}

// Stream is one link to a running generation.
type Stream struct {
	body   io.ReadCloser
	parser fastjson.Parser
}

// NewStream returns the stream of events that body holds.
func NewStream(body io.ReadCloser) *Stream { return &Stream{body: body} }

// Close ends the link. The generation goes on for its detach time.
func (s *Stream) Close() { _ = s.body.Close() }

// Events yields the stream's events. It ends after Done or after one error,
// which is always an *Error: Silent, Broken or Invalid.
func (s *Stream) Events() iter.Seq2[Event, error] {
	return func(yield func(Event, error) bool) {
		for raw, err := range sse.Read(s.body, nil) {
			if err != nil {
				yield(Event{}, broken(err))
				return
			}
			ev, err := s.decode(raw)
			if !yield(ev, err) || err != nil || ev.Kind == Done {
				return
			}
		}
		yield(Event{}, broken(io.ErrUnexpectedEOF))
	}
}

func broken(err error) *Error {
	if link.Timeout(err) {
		return &Error{Fault: Silent, Err: err}
	}
	return &Error{Fault: Broken, Err: err}
}

func (s *Stream) decode(raw sse.Event) (Event, error) {
	v, err := s.parser.Parse(raw.Data)
	if err != nil {
		return Event{}, &Error{Fault: Invalid, Err: err}
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
		ev.Finish = string(v.GetStringBytes("finish"))
	default:
		return Event{}, &Error{Fault: Invalid, Err: trace.BadParameter("event of type %q", raw.Type)}
	}
	return ev, nil
}
