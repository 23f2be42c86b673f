package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	pb "google.golang.org/protobuf/proto"

	"umberladder/internal/core/final"
	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/peer/caller"
	"umberladder/internal/peer/openai"
	"umberladder/internal/peer/proto"
	"umberladder/internal/route/gate"
	"umberladder/internal/route/gener"
	"umberladder/internal/state/config"
)

const handlePurpose = "resume"

// Stream implements caller.Handler.
func (e *Entry) Stream(ctx context.Context, g caller.Generation) (caller.Stream, *refuse.Refusal) {
	s, refusal := e.open(ctx, g)
	if refusal != nil {
		return nil, refusal
	}
	return s, nil
}

// Whole implements caller.Handler.
func (e *Entry) Whole(ctx context.Context, g caller.Generation) (openai.Whole, *refuse.Refusal) {
	s, refusal := e.open(ctx, g)
	if refusal != nil {
		return openai.Whole{}, refusal
	}
	w := openai.Whole{Request: s.target.request, PromptTokens: promptTokens(g.Prompt)}
	if old := s.claim.replay; old != nil {
		w.Text, w.Finish = string(old.GetBody()), old.GetContentType()
		s.complete(len(w.Text))
		return w, nil
	}
	if w.Text, w.Finish, refusal = s.flight.Whole(); refusal != nil {
		return openai.Whole{}, s.refuse(refusal)
	}
	s.answer = wholeAnswer(w.Text, w.Finish)
	w.Tokens = s.flight.Record.Tokens
	s.complete(len(w.Text))
	return w, nil
}

func promptTokens(prompt string) int { return len(prompt)/bytesPerToken + 1 }

// open takes a request through every check to its first token.
func (e *Entry) open(ctx context.Context, g caller.Generation) (*stream, *refuse.Refusal) {
	rec := &final.Record{}
	t, refusal := e.find(g.Key, g.Service, config.ModelService, g.Class)
	if refusal != nil {
		return nil, e.refused(&t, rec, refusal)
	}
	pass, refusal := e.gate.Admit(t.workspace, t.start)
	if refusal != nil {
		return nil, e.refused(&t, rec, refusal)
	}
	s := &stream{entry: e, target: t, pass: pass, chat: g.Chat}
	if s.claim, refusal = e.claimed(ctx, &t, g.IdempotencyKey, fingerprint(string(g.Service), g.Prompt)); refusal != nil {
		return nil, s.refuse(refusal)
	}
	if s.claim.replay != nil {
		return s, nil
	}
	placer, ok := e.placers(t.service.Model)
	if !ok {
		return nil, s.refuse(refuse.New(refuse.NoServer, "the settings name no engine for model %s", t.service.Model).After(time.Second))
	}
	s.flight, refusal = e.runner.Open(ctx, placer, gener.Call{
		Request:    t.request,
		Service:    t.service,
		Class:      t.class,
		Prompt:     g.Prompt,
		MaxTokens:  g.MaxTokens,
		AtMostOnce: t.service.AtMostOnce,
		Ask:        t.ask(g.Prompt),
	})
	if refusal != nil {
		return nil, s.refuse(refusal)
	}
	return s, nil
}

// Resume implements caller.Handler.
func (e *Entry) Resume(ctx context.Context, r caller.Resume) (caller.Stream, *refuse.Refusal) {
	h, err := e.openHandle(r.Handle)
	if err != nil {
		return nil, e.Refuse(refuse.New(refuse.NotFound, "%s", trace.UserMessage(err)))
	}
	rec := &final.Record{}
	t, refusal := e.find(r.Key, ident.Service(h.GetService()), config.ModelService, ident.Class(h.GetClass()))
	t.request = ident.Request(h.GetRequest())
	if refusal != nil {
		return nil, e.refused(&t, rec, refusal.With(refuse.RanPartial))
	}
	if string(t.workspace.Name) != h.GetWorkspace() {
		return nil, e.refused(&t, rec, refuse.New(refuse.NotFound, "the handle belongs to another workspace"))
	}
	addr, err := netip.ParseAddrPort(h.GetEngine())
	if err != nil {
		return nil, e.refused(&t, rec, refuse.New(refuse.NotFound, "the handle names no engine"))
	}
	s := &stream{entry: e, target: t, chat: h.GetChat()}
	call := gener.Call{Request: t.request, Service: t.service, Class: t.class}
	s.flight, refusal = e.runner.Rejoin(ctx, call, addr, ident.Generation(h.GetGeneration()), r.Next)
	if refusal != nil {
		return nil, s.refuse(refusal)
	}
	return s, nil
}

func (e *Entry) openHandle(handle string) (*proto.ResumeHandle, error) {
	data, err := e.ring.OpenToken(handlePurpose, handle)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	h := &proto.ResumeHandle{}
	return h, trace.Wrap(pb.Unmarshal(data, h))
}

// stream is one generation under way. It ends once: complete, refused, or
// left by its caller.
type stream struct {
	entry  *Entry
	target target
	pass   *gate.Permit
	claim  *held
	flight *gener.Flight
	chat   bool
	ended  bool // the last token was handed over
	closed bool
	text   []byte        // of a keyed stream, as far as it is kept
	answer *proto.Answer // kept for a caller who sends the same key again
}

// Request implements caller.Stream.
func (s *stream) Request() ident.Request { return s.target.request }

// Service implements caller.Stream.
func (s *stream) Service() ident.Service { return s.target.service.Name }

// Chat implements caller.Stream.
func (s *stream) Chat() bool { return s.chat }

// Handle implements caller.Stream.
func (s *stream) Handle() string {
	if s.flight == nil {
		return ""
	}
	addr, g := s.flight.Engine()
	data, err := pb.Marshal(&proto.ResumeHandle{
		Engine:     addr.String(),
		Generation: string(g),
		Workspace:  string(s.target.workspace.Name),
		Service:    string(s.target.service.Name),
		Class:      string(s.target.class.Name),
		Request:    string(s.target.request),
		Chat:       s.chat,
		AtMs:       time.Now().UnixMilli(),
	})
	if err != nil {
		// Every part passed through JSON or settings, so it is valid UTF-8.
		return ""
	}
	return s.entry.ring.Token(handlePurpose, data)
}

// Next implements caller.Stream.
func (s *stream) Next() (openai.Token, *refuse.Refusal) {
	if s.claim.replaying() {
		return s.replay(), nil
	}
	t, refusal := s.flight.Next()
	if refusal != nil {
		return openai.Token{}, s.refuse(refusal)
	}
	s.ended = t.End()
	s.keep(t)
	return openai.Token{Index: t.Index, Text: t.Text, Finish: t.Finish}, nil
}

// replay yields a kept answer: its text as one token, then its end.
func (s *stream) replay() openai.Token {
	old := s.claim.replay
	if s.text == nil && len(old.GetBody()) > 0 {
		s.text = old.GetBody()
		return openai.Token{Text: string(s.text)}
	}
	s.ended = true
	return openai.Token{Index: 1, Finish: old.GetContentType()}
}

// keep gathers the text of a keyed stream, and its answer at the end.
func (s *stream) keep(t gener.Token) {
	if !s.claim.holds() || len(s.text) > maxKept {
		return
	}
	s.text = append(s.text, t.Text...)
	if t.End() && len(s.text) <= maxKept {
		s.answer = wholeAnswer(string(s.text), t.Finish)
	}
}

// Close implements caller.Stream.
func (s *stream) Close(left bool, bytes int) {
	switch {
	case s.closed:
	case s.ended && !left:
		s.complete(bytes)
	default:
		s.end(final.Left, nil, bytes)
	}
}

func (s *stream) complete(bytes int) { s.end(final.Complete, nil, bytes) }

// refuse ends the stream with a refusal.
func (s *stream) refuse(r *refuse.Refusal) *refuse.Refusal {
	s.entry.sign(&s.target, r)
	s.end(final.Refused, r, 0)
	return r
}

// end gives everything back and records the one outcome.
func (s *stream) end(o final.Outcome, r *refuse.Refusal, bytes int) {
	if !s.entry.once(&s.closed, &s.target) {
		return
	}
	rec := &final.Record{}
	if s.flight != nil {
		s.flight.Close(r)
		rec = &s.flight.Record
	}
	rec.Outcome = o
	rec.Refusal = r
	rec.Bytes = bytes
	if s.pass != nil {
		s.pass.Release(rec.Tokens, time.Now())
	}
	s.claim.finish(r == nil || r.Ran != refuse.RanNo, s.answer)
	s.entry.done(&s.target, rec)
}
