package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	pb "google.golang.org/protobuf/proto"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/core/result"
	"umberladder/internal/peer/caller"
	"umberladder/internal/peer/openai"
	"umberladder/internal/peer/proto"
	"umberladder/internal/route/infer"
	"umberladder/internal/route/limits"
	"umberladder/internal/state/config"
)

// resumeHandlePurpose is the purpose for which resume handles are encrypted.
const resumeHandlePurpose = "resume"

// Stream implements caller.Handler.
func (h *Handler) Stream(ctx context.Context, g caller.GenerationRequest) (caller.Stream, *refuse.Refusal) {
	s, refusal := h.open(ctx, g)
	if refusal != nil {
		return nil, refusal
	}
	return s, nil
}

// Generate implements caller.Handler.
func (h *Handler) Generate(ctx context.Context, g caller.GenerationRequest) (openai.Completion, *refuse.Refusal) {
	s, refusal := h.open(ctx, g)
	if refusal != nil {
		return openai.Completion{}, refusal
	}
	completion := openai.Completion{Request: s.info.request, PromptTokens: promptTokens(g.Prompt)}
	if stored := s.claim.stored; stored != nil {
		completion.Text, completion.FinishReason = string(stored.GetBody()), stored.GetContentType()
		s.complete(len(completion.Text))
		return completion, nil
	}
	if completion.Text, completion.FinishReason, refusal = s.stream.ReadAll(); refusal != nil {
		return openai.Completion{}, s.refuse(refusal)
	}
	s.response = generationResponse(completion.Text, completion.FinishReason)
	completion.CompletionTokens = s.stream.Record.Tokens
	s.complete(len(completion.Text))
	return completion, nil
}

// promptTokens estimates the number of tokens in a prompt.
func promptTokens(prompt string) int { return len(prompt)/bytesPerToken + 1 }

// open checks a request, places it on an engine and waits for its first token.
func (h *Handler) open(ctx context.Context, g caller.GenerationRequest) (*clientStream, *refuse.Refusal) {
	rec := &result.Record{}
	info, refusal := h.resolve(g.Key, g.Service, config.ModelService, g.Class)
	if refusal != nil {
		return nil, h.recordRefusal(&info, rec, refusal)
	}
	permit, refusal := h.limiter.Admit(info.workspace, info.start)
	if refusal != nil {
		return nil, h.recordRefusal(&info, rec, refusal)
	}
	s := &clientStream{handler: h, info: info, permit: permit, chat: g.Chat}
	if s.claim, refusal = h.acquireClaim(ctx, &info, g.IdempotencyKey, fingerprint(string(g.Service), g.Prompt)); refusal != nil {
		return nil, s.refuse(refusal)
	}
	if s.claim.stored != nil {
		return s, nil
	}
	placer, ok := h.placers(info.service.Model)
	if !ok {
		return nil, s.refuse(refuse.New(refuse.NoServer, "the settings name no engine for model %s", info.service.Model).WithRetryAfter(time.Second))
	}
	s.stream, refusal = h.runner.Open(ctx, placer, infer.Call{
		Request:          info.request,
		Service:          info.service,
		Class:            info.class,
		Prompt:           g.Prompt,
		MaxTokens:        g.MaxTokens,
		AtMostOnce:       info.service.AtMostOnce,
		PlacementRequest: info.placementRequest(g.Prompt),
	})
	if refusal != nil {
		return nil, s.refuse(refusal)
	}
	return s, nil
}

// Resume implements caller.Handler.
func (h *Handler) Resume(ctx context.Context, r caller.ResumeRequest) (caller.Stream, *refuse.Refusal) {
	rh, err := h.openHandle(r.Handle)
	if err != nil {
		return nil, h.RecordRefusal(refuse.New(refuse.NotFound, "%s", trace.UserMessage(err)))
	}
	rec := &result.Record{}
	info, refusal := h.resolve(r.Key, ident.Service(rh.GetService()), config.ModelService, ident.Class(rh.GetClass()))
	info.request = ident.Request(rh.GetRequest())
	if refusal != nil {
		return nil, h.recordRefusal(&info, rec, refusal.WithRan(refuse.RanPartial))
	}
	if string(info.workspace.Name) != rh.GetWorkspace() {
		return nil, h.recordRefusal(&info, rec, refuse.New(refuse.NotFound, "the handle belongs to another workspace"))
	}
	addr, err := netip.ParseAddrPort(rh.GetEngine())
	if err != nil {
		return nil, h.recordRefusal(&info, rec, refuse.New(refuse.NotFound, "the handle names no engine"))
	}
	s := &clientStream{handler: h, info: info, chat: rh.GetChat()}
	call := infer.Call{Request: info.request, Service: info.service, Class: info.class}
	s.stream, refusal = h.runner.Reattach(ctx, call, addr, ident.Generation(rh.GetGeneration()), r.Next)
	if refusal != nil {
		return nil, s.refuse(refusal)
	}
	return s, nil
}

// openHandle decrypts a resume handle.
func (h *Handler) openHandle(handle string) (*proto.ResumeHandle, error) {
	data, err := h.ring.OpenToken(resumeHandlePurpose, handle)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	rh := &proto.ResumeHandle{}
	return rh, trace.Wrap(pb.Unmarshal(data, rh))
}

// clientStream is the stream of one generation to its client. It implements
// caller.Stream and ends exactly once: complete, refused, or abandoned by the
// client.
type clientStream struct {
	handler  *Handler
	info     callInfo
	permit   *limits.Permit
	claim    *claim
	stream   *infer.Stream
	chat     bool
	ended    bool // Next returned the end of the response
	closed   bool
	text     []byte        // with an idempotency key: the text sent so far; incomplete if longer than maxStoredResponse
	response *proto.Answer // stored for clients that repeat the idempotency key
}

// Request implements caller.Stream.
func (s *clientStream) Request() ident.Request { return s.info.request }

// Service implements caller.Stream.
func (s *clientStream) Service() ident.Service { return s.info.service.Name }

// Chat implements caller.Stream.
func (s *clientStream) Chat() bool { return s.chat }

// Handle implements caller.Stream.
func (s *clientStream) Handle() string {
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
	return s.handler.ring.SealToken(resumeHandlePurpose, data)
}

// Next implements caller.Stream.
func (s *clientStream) Next() (openai.Token, *refuse.Refusal) {
	if s.claim.hasStoredResponse() {
		return s.replay(), nil
	}
	t, refusal := s.stream.Next()
	if refusal != nil {
		return openai.Token{}, s.refuse(refusal)
	}
	s.ended = t.End()
	s.bufferText(t)
	return openai.Token{Index: t.Index, Text: t.Text, FinishReason: t.Finish}, nil
}

// replay returns the next token of a stored response: its text as one token,
// then its end.
func (s *clientStream) replay() openai.Token {
	stored := s.claim.stored
	if s.text == nil && len(stored.GetBody()) > 0 {
		s.text = stored.GetBody()
		return openai.Token{Text: string(s.text)}
	}
	s.ended = true
	return openai.Token{Index: 1, FinishReason: stored.GetContentType()}
}

// bufferText collects the text of a stream with an idempotency key and sets the
// response to store when the stream ends.
func (s *clientStream) bufferText(t infer.Token) {
	if !s.claim.active() || len(s.text) > maxStoredResponse {
		return
	}
	s.text = append(s.text, t.Text...)
	if t.End() && len(s.text) <= maxStoredResponse {
		s.response = generationResponse(string(s.text), t.Finish)
	}
}

// Close implements caller.Stream.
func (s *clientStream) Close(clientDisconnected bool, bytes int) {
	switch {
	case s.closed:
	case s.ended && !clientDisconnected:
		s.complete(bytes)
	default:
		s.end(result.Abandoned, nil, bytes)
	}
}

// complete ends the stream as delivered in full.
func (s *clientStream) complete(bytes int) { s.end(result.Complete, nil, bytes) }

// refuse ends the stream with a refusal.
func (s *clientStream) refuse(r *refuse.Refusal) *refuse.Refusal {
	s.handler.annotate(&s.info, r)
	s.end(result.Refused, r, 0)
	return r
}

// end releases what the stream holds and records its outcome.
func (s *clientStream) end(o result.Outcome, r *refuse.Refusal, bytes int) {
	if !s.handler.markEnded(&s.closed, &s.info) {
		return
	}
	rec := &result.Record{}
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
