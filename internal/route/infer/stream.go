package infer

import (
	"context"
	"errors"
	"iter"
	"net/netip"
	"strings"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/invar"
	"umberladder/internal/core/refuse"
	"umberladder/internal/core/result"
	"umberladder/internal/core/token"
	"umberladder/internal/peer/engine"
	"umberladder/internal/route/pool"
)

// Stream delivers the tokens of one generation. It is not safe for concurrent use.
type Stream struct {
	Record result.Record // measurements; the user of the stream adds the identity and outcome of the request

	runner  *Runner
	placer  Placer
	call    Call
	ctx     context.Context
	cancel  context.CancelFunc
	exclude map[ident.Server]struct{}

	reservation Reservation
	engineAddr  netip.AddrPort
	cursor      *token.Cursor // nil: no generation is running
	conn        *engine.Stream
	nextEvent   func() (engine.Event, error, bool)
	stopEvents  func()

	deliveredGeneration ident.Generation // whose tokens the client has received
	started             bool             // an engine has received the generation and may have run it
	delivered           bool             // a token has reached the client
	failedResumes       int              // consecutive times that the engine did not respond, or responded incorrectly
	disconnects         int              // consecutive connections that broke before they delivered a token
	rejections          int              // number of engines that did not start the generation
	firstToken          *Token           // fetched by awaitFirst and not returned yet
	lastTokenAt         time.Time        // time of the last token, or of the start of the stream
	expectedGap         time.Duration    // expected time to the next token
	closed              bool
}

// Engine returns the address of the engine and the generation, for a resume handle.
func (s *Stream) Engine() (netip.AddrPort, ident.Generation) {
	return s.engineAddr, s.cursor.Generation()
}

// awaitFirst fetches the first token and stores it for Next.
func (s *Stream) awaitFirst() (*Stream, *refuse.Refusal) {
	t, refusal := s.nextToken()
	if refusal != nil {
		s.Close(refusal)
		return nil, refusal
	}
	s.firstToken = &t
	s.Record.TimeToFirst = time.Since(s.Record.Start)
	return s, nil
}

// Next returns the next token, the end of the response, or the refusal that ends the
// stream.
func (s *Stream) Next() (Token, *refuse.Refusal) {
	s.delivered = true
	t, refusal := s.firstOrNext()
	if refusal != nil || t.End() {
		return t, refusal
	}
	g := s.cursor.Generation()
	s.runner.invariants.Assert(invar.OneGeneration, s.deliveredGeneration == "" || s.deliveredGeneration == g, "request %s shows tokens of two generations", s.call.Request)
	s.deliveredGeneration = g
	return t, nil
}

// firstOrNext returns the stored first token, or else fetches the next one.
func (s *Stream) firstOrNext() (Token, *refuse.Refusal) {
	if t := s.firstToken; t != nil {
		s.firstToken = nil
		return *t, nil
	}
	return s.nextToken()
}

// ReadAll returns the text and finish reason of the complete generation. No token
// reaches the client before that, so the generation may be run again if its engine is
// lost.
func (s *Stream) ReadAll() (string, string, *refuse.Refusal) {
	var text strings.Builder
	reruns := s.Record.Reruns
	t := *s.firstToken
	s.firstToken = nil
	for !t.End() {
		text.WriteString(t.Text)
		var refusal *refuse.Refusal
		if t, refusal = s.nextToken(); refusal != nil {
			return "", "", refusal
		}
		if s.Record.Reruns != reruns {
			reruns = s.Record.Reruns
			text.Reset()
		}
	}
	return text.String(), t.Finish, nil
}

// Close closes the stream. An unfinished generation continues on its engine for the
// detach timeout, so that the client can resume it.
func (s *Stream) Close(refusal *refuse.Refusal) {
	if s.closed {
		return
	}
	s.closed = true
	s.disconnect()
	s.release(pool.Cancelled)
	s.cancel()
	ranCorrect := refusal == nil || refusal.Ran != refuse.RanNo || !s.started
	s.runner.invariants.Assert(invar.NotRun, ranCorrect, "request %s was started, and its refusal says it never ran", s.call.Request)
}

// nextToken returns the next token in order. It resumes the generation or runs it again
// as needed.
func (s *Stream) nextToken() (Token, *refuse.Refusal) {
	for {
		if s.conn == nil {
			if refusal := s.connect(); refusal != nil {
				return Token{}, refusal
			}
			continue
		}
		ev, err, _ := s.nextEvent()
		if err != nil {
			if refusal := s.connFailed(err); refusal != nil {
				return Token{}, refusal
			}
			continue
		}
		if t, ok := s.handleEvent(ev); ok {
			return t, nil
		}
	}
}

// handleEvent handles one event. It returns true if the event yields a token, or the end,
// for the client.
func (s *Stream) handleEvent(ev engine.Event) (Token, bool) {
	switch ev.Kind {
	case engine.Paused:
		s.Record.Preemptions++
	case engine.Done:
		return s.handleDone(ev)
	case engine.Token:
		switch s.cursor.Offer(ev.Generation, ev.Index) {
		case token.Accept:
			s.recordToken()
			return Token{Index: ev.Index, Text: ev.Text}, true
		case token.Gap, token.WrongGeneration:
			s.disconnect()
			s.failedResumes++
		}
	}
	return Token{}, false
}

// handleDone accepts the end of the generation if every token before it was received;
// otherwise the stream is resumed.
func (s *Stream) handleDone(ev engine.Event) (Token, bool) {
	if ev.Generation != s.cursor.Generation() || ev.Index != s.cursor.Next() || ev.FinishReason == "" {
		s.disconnect()
		s.failedResumes++
		return Token{}, false
	}
	s.disconnect()
	s.release(pool.Completed)
	s.runner.invariants.Assert(invar.TokenOrder, s.cursor.Next() == ev.Index, "%d tokens in place of %d", s.cursor.Next(), ev.Index)
	return Token{Index: ev.Index, Finish: ev.FinishReason}, true
}

// recordToken updates the record for one received token.
func (s *Stream) recordToken() {
	now := time.Now()
	gap := now.Sub(s.lastTokenAt)
	if gap > s.expectedGap {
		s.Record.Stall += gap - s.expectedGap
		s.Record.LateTokens++
	}
	if s.Record.Tokens > 0 {
		s.runner.recorder.RecordGap(gap)
	}
	s.lastTokenAt = now
	s.expectedGap = s.runner.cfg.TokenPace
	s.failedResumes, s.disconnects = 0, 0
	s.Record.Tokens++
	if s.reservation != nil {
		s.reservation.Progress(int(s.cursor.Next()))
	}
}

// connect starts the generation, or reconnects to the running one.
func (s *Stream) connect() *refuse.Refusal {
	if s.cursor == nil {
		return s.start()
	}
	if s.failedResumes > s.runner.cfg.ResumeTries {
		return s.engineLost(refuse.ServerLost, "the engine could not be reached again")
	}
	if n := max(s.failedResumes, s.disconnects); n > 0 && !s.sleep(s.runner.backoff(n)) {
		return s.engineLost(refuse.ClientStalled, "the request was cut off")
	}
	if time.Since(s.lastTokenAt) > s.runner.cfg.TokenTimeout {
		return s.engineLost(refuse.ServerTimeout, "the engine produced no token for "+s.runner.cfg.TokenTimeout.String())
	}
	conn, err := s.runner.engines.Resume(s.ctx, s.engineAddr, s.cursor.Generation(), s.cursor.Next())
	if err != nil {
		return s.connFailed(err)
	}
	s.Record.Resumes++
	s.attach(conn)
	return nil
}

// attach makes conn the stream's current connection.
func (s *Stream) attach(conn *engine.Stream) {
	s.conn = conn
	s.nextEvent, s.stopEvents = iter.Pull2(conn.Events())
}

// disconnect closes the current connection, if any.
func (s *Stream) disconnect() {
	if s.conn == nil {
		return
	}
	s.conn.Close()
	s.stopEvents()
	s.conn = nil
}

// connFailed handles the failure of a connection or of an attempt to reconnect. It
// returns nil if the stream should be resumed or run again.
func (s *Stream) connFailed(err error) *refuse.Refusal {
	wasConnected := s.conn != nil
	s.disconnect()
	var e *engine.Error
	if errors.As(err, &e) && e.Kind == engine.NotFound {
		return s.engineLost(refuse.ServerLost, "the engine no longer knows the generation")
	}
	switch {
	case wasConnected && e != nil && e.Kind == engine.Timeout:
		// The engine responded on this connection, and the generation may only be
		// waiting for memory. Resuming it shows whether the engine is alive.
	case wasConnected:
		s.disconnects++
	default:
		s.failedResumes++
	}
	return nil
}

// engineLost abandons the engine. It prepares to run the generation again on another
// engine, or returns the refusal that ends the stream.
func (s *Stream) engineLost(reason refuse.Reason, detail string) *refuse.Refusal {
	s.release(pool.EngineLost)
	if s.canRerun() {
		s.exclude[s.Record.Server] = struct{}{}
		s.runner.cancelGeneration(s.engineAddr, s.cursor.Generation())
		s.cursor = nil
		s.failedResumes, s.disconnects = 0, 0
		s.Record.Reruns++
		s.Record.Tokens = 0
		return nil
	}
	ran := refuse.RanMaybe
	if s.delivered {
		ran = refuse.RanPartial
	}
	return refuse.New(reason, "%s; %d tokens had come", detail, s.cursor.Next()).WithRan(ran).WithRetryAfter(time.Second)
}

// canRerun reports whether the generation may be run again. It takes a retry from the
// budget.
func (s *Stream) canRerun() bool {
	return !s.delivered && !s.call.AtMostOnce && s.ctx.Err() == nil && s.runner.budget.AllowRetry()
}

// release releases the reservation, if any.
func (s *Stream) release(end pool.Outcome) {
	if s.reservation != nil {
		s.reservation.Release(end, time.Now())
		s.reservation = nil
	}
}

// sleep waits for d. It returns false if the context was cancelled meanwhile.
func (s *Stream) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}
