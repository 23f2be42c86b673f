package drive

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"umberladder/internal/fake/prompt"
	"umberladder/internal/load/picker"
	"umberladder/internal/load/plan"
)

const (
	maxAttempts    = 8
	maxResumes     = 20
	retryPause     = 150 * time.Millisecond
	requestTimeout = 120 * time.Second
)

var (
	// errInterrupted reports a connection that broke before the response or
	// within a stream.
	errInterrupted = errors.New("connection interrupted")
	// errNotConnected reports a connection that could not be established.
	errNotConnected = errors.New("connection not established")
)

// Client sends requests to VMs. It is safe for concurrent use.
type Client struct {
	http  *http.Client
	vms   *picker.Picker
	onGap func(time.Duration)
}

// NewClient returns a client that sends requests to the VMs that vms picks. It
// calls onGap with the time between successive tokens of a stream.
func NewClient(vms *picker.Picker, onGap func(time.Duration)) *Client {
	t := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	return &Client{http: &http.Client{Transport: t}, vms: vms, onGap: onGap}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// session is the state of one request over its attempts and resumes.
type session struct {
	client       *Client
	request      Request
	key          string
	res          Result
	start        time.Time
	chunks       []string // text received so far
	nextIndex    uint64   // index of the next token expected
	resumeHandle string
}

// Do sends req, retrying and resuming it, until it has an outcome. A refused
// request that may be repeated is sent once more after its Retry-After time.
func (c *Client) Do(ctx context.Context, req Request) Result {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	s := &session{client: c, request: req, res: Result{Request: req}, start: time.Now()}
	if req.Keyed {
		s.key = newKey()
	}
	s.run(ctx)
	s.res.Total = time.Since(s.start)
	if s.res.Outcome == Refused && s.res.RetryAfter > 0 && !req.AtMostOnce {
		s.res.Retried = c.retryLater(ctx, req, s.res.RetryAfter)
	}
	return s.res
}

// retryLater sends a refused request once more after the time that the refusal
// gave in Retry-After.
func (c *Client) retryLater(ctx context.Context, req Request, retryAfter time.Duration) *Result {
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(retryAfter):
	}
	req.Spec.Tag += ".back"
	s := &session{client: c, request: req, res: Result{Request: req}, start: time.Now()}
	s.run(ctx)
	return &s.res
}

func (s *session) run(ctx context.Context) {
	for s.res.Attempts < maxAttempts {
		s.res.Attempts++
		err := s.send(ctx)
		for errors.Is(err, errInterrupted) && s.resumeHandle != "" && s.res.Resumes < maxResumes && ctx.Err() == nil {
			s.res.Resumes++
			time.Sleep(retryPause)
			err = s.resume(ctx)
		}
		switch {
		case err == nil:
			return
		case s.resumeHandle != "" || ctx.Err() != nil:
			s.finish(Lost, err.Error())
			return
		case errors.Is(err, errNotConnected):
		case s.request.AtMostOnce && !s.request.Keyed:
			s.finish(Interrupted, err.Error())
			return
		}
		time.Sleep(retryPause)
	}
	s.finish(Lost, "all attempts failed")
}

func (s *session) finish(o Outcome, detail string) {
	s.res.Outcome, s.res.Detail = o, detail
}

func (s *session) send(ctx context.Context) error {
	vm := s.client.vms.Pick()
	s.res.VM = vm.Name
	s.res.Tag = s.attemptTag()
	method, path, body := s.httpRequest()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+vm.Address.String()+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if s.key != "" {
		req.Header.Set("Idempotency-Key", s.key)
	}
	return s.roundTrip(req)
}

func (s *session) resume(ctx context.Context) error {
	vm := s.client.vms.Pick()
	s.res.VM = vm.Name
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.Address.String()+"/v1/resume/"+s.resumeHandle, http.NoBody)
	if err != nil {
		return err
	}
	if s.nextIndex > 0 {
		req.Header.Set("Last-Event-ID", strconv.FormatUint(s.nextIndex-1, 10))
	}
	return s.roundTrip(req)
}

// attemptTag returns the tag under which backend servers record this attempt.
// Each attempt of a retryable call has its own tag, so that each refusal can be
// checked against the servers' run logs. All attempts of an at-most-once call share
// one tag, so that a duplicate run is detected.
func (s *session) attemptTag() string {
	if s.request.AtMostOnce || s.res.Attempts == 1 {
		return s.request.Spec.Tag
	}
	return fmt.Sprintf("%s.%d", s.request.Spec.Tag, s.res.Attempts)
}

// httpRequest returns the method, path and body of the request. Package net/http
// itself retries a GET when a reused connection breaks, as the HTTP libraries of
// real clients do.
func (s *session) httpRequest() (string, string, []byte) {
	r := &s.request
	if r.Plain {
		method := http.MethodGet
		if r.AtMostOnce {
			method = http.MethodPost
		}
		return method, fmt.Sprintf("/v1/services/%s/do?tag=%s", r.Service, s.res.Tag), nil
	}
	body, _ := json.Marshal(map[string]any{"model": r.Service, "prompt": s.spec().Prompt(), "stream": r.Stream})
	return http.MethodPost, "/v1/completions", body
}

func (s *session) roundTrip(req *http.Request) error {
	req.Header.Set("Authorization", "Bearer "+plan.ClientKey(s.request.Workspace))
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.client.http.Do(req)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w: %w", errInterrupted, errNotConnected, err)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", errInterrupted, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		if h := resp.Header.Get("Umberladder-Resume"); h != "" {
			s.resumeHandle = h
		}
		return s.readStream(resp.Body)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("%w: %w", errInterrupted, err)
	}
	if s.res.TimeToFirst == 0 {
		s.res.TimeToFirst = time.Since(s.start)
	}
	if resp.StatusCode != http.StatusOK {
		s.handleRefusal(data, resp.Header.Get("Retry-After"))
		return nil
	}
	s.handleResponse(data)
	return nil
}

// spec returns the prompt spec of this attempt.
func (s *session) spec() prompt.Spec {
	spec := s.request.Spec
	spec.Tag = s.res.Tag
	return spec
}

// problem holds the fields of a problem document that the client checks.
type problem struct {
	Reason string `json:"reason"`
	Ran    string `json:"ran"`
	Code   string `json:"code"`
	Detail string `json:"detail"`
}

func (s *session) handleRefusal(data []byte, retryAfter string) {
	var p problem
	if err := json.Unmarshal(data, &p); err != nil || p.Reason == "" {
		s.finish(Wrong, fmt.Sprintf("refusal without a reason: %.200s", data))
		return
	}
	s.res.Reason, s.res.Ran, s.res.Code = p.Reason, p.Ran, p.Code
	if secs, err := strconv.Atoi(retryAfter); err == nil {
		s.res.RetryAfter = time.Duration(secs) * time.Second
	}
	s.finish(Refused, p.Detail)
}

func (s *session) handleResponse(data []byte) {
	if s.request.Plain {
		var resp struct{ Tag string }
		if err := json.Unmarshal(data, &resp); err != nil || resp.Tag != s.res.Tag {
			s.finish(Wrong, fmt.Sprintf("the response to %s is %.200s", s.res.Tag, data))
		}
		return
	}
	var completion struct{ Choices []struct{ Text string } }
	if err := json.Unmarshal(data, &completion); err != nil || len(completion.Choices) != 1 {
		s.finish(Wrong, fmt.Sprintf("not a completion: %.200s", data))
		return
	}
	s.chunks = []string{completion.Choices[0].Text}
	s.checkText()
}

// checkText checks the complete text against the request.
func (s *session) checkText() {
	text := strings.Join(s.chunks, "")
	s.res.Tokens = len(strings.Fields(text))
	if err := s.request.Spec.CheckComplete(text); err != nil {
		s.finish(Wrong, err.Error())
	}
}

func (s *session) readStream(body io.Reader) error {
	lastToken := time.Time{}
	for ev, err := range sse.Read(body, nil) {
		if err != nil {
			return fmt.Errorf("%w: %w", errInterrupted, err)
		}
		if ev.Type == "error" {
			s.handleRefusal([]byte(ev.Data), "")
			return nil
		}
		if ev.Data == "[DONE]" {
			s.checkText()
			return nil
		}
		var chunk struct {
			Choices []struct {
				Text   string
				Finish *string `json:"finish_reason"`
			}
		}
		if err := json.Unmarshal([]byte(ev.Data), &chunk); err != nil || len(chunk.Choices) != 1 {
			s.finish(Wrong, fmt.Sprintf("not a chunk: %.200s", ev.Data))
			return nil
		}
		if chunk.Choices[0].Finish != nil {
			continue
		}
		lastToken = s.handleToken(ev.LastEventID, chunk.Choices[0].Text, lastToken)
		if s.res.Outcome == Wrong {
			return nil
		}
	}
	return errInterrupted
}

// handleToken processes one token and returns the time of its arrival.
func (s *session) handleToken(id, text string, previous time.Time) time.Time {
	now := time.Now()
	if s.res.TimeToFirst == 0 {
		s.res.TimeToFirst = now.Sub(s.start)
	}
	if !previous.IsZero() {
		s.client.onGap(now.Sub(previous))
	}
	if id != strconv.FormatUint(s.nextIndex, 10) {
		s.finish(Wrong, fmt.Sprintf("received token %s, expected token %d", id, s.nextIndex))
		return now
	}
	s.nextIndex++
	s.chunks = append(s.chunks, text)
	return now
}
