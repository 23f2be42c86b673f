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

// resumeHandlePurpose is the purpose for which resume handles are encrypted.
const resumeHandlePurpose = "resume"

// Stream implements caller.Handler.
func (h *Entry) Stream(ctx context.Context, g caller.Generation) (caller.Stream, *refuse.Refusal) {
	s, refusal := h.open(ctx, g)
	if refusal != nil {
		return nil, refusal
	}
	return s, nil
}

// Whole implements caller.Handler.
func (h *Entry) Whole(ctx context.Context, g caller.Generation) (openai.Whole, *refuse.Refusal) {
	s, refusal := h.open(ctx, g)
	if refusal != nil {
		return openai.Whole{}, refusal
	}
	w := openai.Whole{Request: s.info.request, PromptTokens: promptTokens(g.Prompt)}
	if stored := s.claim.stored; stored != nil {
		w.Text, w.Finish = string(stored.GetBody()), stored.GetContentType()
		s.complete(len(w.Text))
		return w, nil
	}
	if w.Text, w.Finish, refusal = s.stream.ReadAll(); refusal != nil {
		return openai.Whole{}, s.refuse(refusal)
	}
	s.response = generationResponse(w.Text, w.Finish)
	w.Tokens = s.stream.Record.Tokens
	s.complete(len(w.Text))
	return w, nil
}

// promptTokens estimates the number of tokens in a prompt.
func promptTokens(prompt string) int { return len(prompt)/bytesPerToken + 1 }

// open checks a request, places it on an engine and waits for its first token.
func (h *Entry) open(ctx context.Context, g caller.Generation) (*callerStream, *refuse.Refusal) {
	rec := &final.Record{}
	info, refusal := h.resolve(g.Key, g.Service, config.ModelService, g.Class)
	if refusal != nil {
		return nil, h.recordRefusal(&info, rec, refusal)
	}
	permit, refusal := h.limiter.Admit(info.workspace, info.start)
	if refusal != nil {
		return nil, h.recordRefusal(&info, rec, refusal)
	}
	s := &callerStream{handler: h, info: info, permit: permit, chat: g.Chat}
	if s.claim, refusal = h.acquireClaim(ctx, &info, g.IdempotencyKey, fingerprint(string(g.Service), g.Prompt)); refusal != nil {
		return nil, s.refuse(refusal)
	}
	if s.claim.stored != nil {
		return s, nil
	}
	placer, ok := h.placers(info.service.Model)
	if !ok {
		return nil, s.refuse(refuse.New(refuse.NoServer, "the settings name no engine for model %s", info.service.Model).After(time.Second))
	}
	s.stream, refusal = h.runner.Open(ctx, placer, gener.Call{
		Request:    info.request,
		Service:    info.service,
		Class:      info.class,
		Prompt:     g.Prompt,
		MaxTokens:  g.MaxTokens,
		AtMostOnce: info.service.AtMostOnce,
		Placement:  info.placementRequest(g.Prompt),
	})
	if refusal != nil {
		return nil, s.refuse(refusal)
	}
	return s, nil
}

// Resume implements caller.Handler.
func (h *Entry) Resume(ctx context.Context, r caller.Resume) (caller.Stream, *refuse.Refusal) {
	rh, err := h.openHandle(r.Handle)
	if err != nil {
		return nil, h.Refuse(refuse.New(refuse.NotFound, "%s", trace.UserMessage(err)))
	}
	rec := &final.Record{}
	info, refusal := h.resolve(r.Key, ident.Service(rh.GetService()), config.ModelService, ident.Class(rh.GetClass()))
	info.request = ident.Request(rh.GetRequest())
	if refusal != nil {
		return nil, h.recordRefusal(&info, rec, refusal.With(refuse.RanPartial))
	}
	if string(info.workspace.Name) != rh.GetWorkspace() {
		return nil, h.recordRefusal(&info, rec, refuse.New(refuse.NotFound, "the handle belongs to another workspace"))
	}
	addr, err := netip.ParseAddrPort(rh.GetEngine())
	if err != nil {
		return nil, h.recordRefusal(&info, rec, refuse.New(refuse.NotFound, "the handle names no engine"))
	}
	s := &callerStream{handler: h, info: info, chat: rh.GetChat()}
	call := gener.Call{Request: info.request, Service: info.service, Class: info.class}
	s.stream, refusal = h.runner.Reattach(ctx, call, addr, ident.Generation(rh.GetGeneration()), r.Next)
	if refusal != nil {
		return nil, s.refuse(refusal)
	}
	return s, nil
}

// openHandle decrypts a resume handle.
func (h *Entry) openHandle(handle string) (*proto.ResumeHandle, error) {
	data, err := h.ring.OpenToken(resumeHandlePurpose, handle)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	rh := &proto.ResumeHandle{}
	return rh, trace.Wrap(pb.Unmarshal(data, rh))
}

// callerStream is the stream of one generation to its caller. It implements
// caller.Stream and ends exactly once: complete, refused, or abandoned by its
// caller.
type callerStream struct {
	handler  *Entry
	info     callInfo
	permit   *gate.Permit
	claim    *claim
	stream   *gener.Stream
	chat     bool
	ended    bool // Next returned the end of the response
	closed   bool
	text     []byte        // with an idempotency key: the text so far, as far as it is stored
	response *proto.Answer // stored for callers that repeat the idempotency key
}

// Request implements caller.Stream.
func (s *callerStream) Request() ident.Request { return s.info.request }

// Service implements caller.Stream.
func (s *callerStream) Service() ident.Service { return s.info.service.Name }

// Chat implements caller.Stream.
func (s *callerStream) Chat() bool { return s.chat }

// Handle implements caller.Stream.
func (s *callerStream) Handle() string {
	if s.stream == nil {
		return ""
	}
	addr, g := s.stream.Engine()
	data, err := pb.Marshal(&proto.ResumeHandle{
		Engine:     addr.String(),
		Generation: string(g),
		Workspace:  string(s.info.workspace.Name),
		Service:    string(s.info.service.Name),
		Class:      string(s.info.class.Name),
		Request:    string(s.info.request),
		Chat:       s.chat,
		AtMs:       time.Now().UnixMilli(),
	})
	if err != nil {
		// Marshal fails only on invalid UTF-8, and every field was parsed from
		// JSON or from the settings.
		return ""
	}
	return s.handler.ring.Token(resumeHandlePurpose, data)
}

// Next implements caller.Stream.
func (s *callerStream) Next() (openai.Token, *refuse.Refusal) {
	if s.claim.hasStoredResponse() {
		return s.replay(), nil
	}
	t, refusal := s.stream.Next()
	if refusal != nil {
		return openai.Token{}, s.refuse(refusal)
	}
	s.ended = t.End()
	s.bufferText(t)
	return openai.Token{Index: t.Index, Text: t.Text, Finish: t.Finish}, nil
}

// replay returns the next token of a stored response: its text as one token,
// then its end.
func (s *callerStream) replay() openai.Token {
	stored := s.claim.stored
	if s.text == nil && len(stored.GetBody()) > 0 {
		s.text = stored.GetBody()
		return openai.Token{Text: string(s.text)}
	}
	s.ended = true
	return openai.Token{Index: 1, Finish: stored.GetContentType()}
}

// bufferText collects the text of a stream with an idempotency key and sets the
// response to store when the stream ends.
func (s *callerStream) bufferText(t gener.Token) {
	if !s.claim.active() || len(s.text) > maxStoredResponse {
		return
	}
	s.text = append(s.text, t.Text...)
	if t.End() && len(s.text) <= maxStoredResponse {
		s.response = generationResponse(string(s.text), t.Finish)
	}
}

// Close implements caller.Stream.
func (s *callerStream) Close(callerLeft bool, bytes int) {
	switch {
	case s.closed:
	case s.ended && !callerLeft:
		s.complete(bytes)
	default:
		s.end(final.Left, nil, bytes)
	}
}

// complete ends the stream as delivered in full.
func (s *callerStream) complete(bytes int) { s.end(final.Complete, nil, bytes) }

// refuse ends the stream with a refusal.
func (s *callerStream) refuse(r *refuse.Refusal) *refuse.Refusal {
	s.handler.annotate(&s.info, r)
	s.end(final.Refused, r, 0)
	return r
}

// end releases what the stream holds and records its outcome.
func (s *callerStream) end(o final.Outcome, r *refuse.Refusal, bytes int) {
	if !s.handler.markEnded(&s.closed, &s.info) {
		return
	}
	rec := &final.Record{}
	if s.stream != nil {
		s.stream.Close(r)
		rec = &s.stream.Record
	}
	rec.Outcome = o
	rec.Refusal = r
	rec.Bytes = bytes
	if s.permit != nil {
		s.permit.Release(rec.Tokens, time.Now())
	}
	s.claim.finish(r == nil || r.Ran != refuse.RanNo, s.response)
	s.handler.recordEnd(&s.info, rec)
}
