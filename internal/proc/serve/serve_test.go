package serve_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"umberladder/internal/fake/engine"
	"umberladder/internal/fake/plain"
	"umberladder/internal/fake/prompt"
	"umberladder/internal/fake/store"
	"umberladder/internal/load/plan"
	"umberladder/internal/proc/conf"
	"umberladder/internal/test/check"
	"umberladder/internal/test/inproc"
)

const (
	completionsPath = "/v1/completions"
	bookPath        = "/v1/services/" + plan.Bookings + "/do?tag="
)

// problem holds the members of a problem document that these tests check.
type problem struct {
	Reason string
	Ran    string
	Detail string
	Code   string
	Limit  struct{ Path string }
}

func parse(t testing.TB, body string) problem {
	t.Helper()
	var p problem
	assert.NilError(t, json.Unmarshal([]byte(body), &p), body)
	return p
}

func promptSpec(tokens int, tag string) prompt.Spec {
	return prompt.Spec{Tokens: tokens, Seed: 7, Tag: tag}
}

func completionBody(spec prompt.Spec, more string) string {
	return fmt.Sprintf(`{"model":%q,"prompt":%q%s}`, plan.Proposals, spec.Prompt(), more)
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func smallLimits(c *conf.Node) {
	c.Limits.MaxBodyBytes = 4 << 10
	c.Limits.MaxHeaderBytes = 2 << 10
	c.Limits.ReadTimeout = 400 * time.Millisecond
	c.Limits.WriteTimeout = 300 * time.Millisecond
}

func TestClients(t *testing.T) {
	s := inproc.New(t, 101, 2, smallLimits)
	t.Run("bad input", func(t *testing.T) { badInput(t, s) })
	t.Run("authorization", func(t *testing.T) { authorization(t, s) })
	t.Run("completions, chat and models", func(t *testing.T) { completeResponses(t, s) })
	t.Run("a slow sender is cut off", func(t *testing.T) { slowSender(t, s) })
	t.Run("a client that stops reading", func(t *testing.T) { stalledClient(t, s) })
	t.Run("a refusal code is explained", func(t *testing.T) { refusalExplained(t, s) })
	t.Run("resumed through another VM", func(t *testing.T) { resumed(t, s) })
	t.Run("metrics", func(t *testing.T) {
		code, body := s.Get(0, "/metrics", "")
		assert.Equal(t, code, 200)
		assert.Assert(t, strings.Contains(body, `umberladder_requests_total{workspace="installers"`))
		assert.Assert(t, strings.Contains(body, `umberladder_invariant_violations_sum_total 0`), body)
	})
}

func badInput(t *testing.T, s *inproc.Fleet) {
	long := strings.Repeat("x", 5<<10)
	for name, c := range map[string]struct {
		path, body, reason, want string
		code                     int
	}{
		"broken JSON":       {completionsPath, `{"model":`, "bad-input", "not valid JSON", 400},
		"not an object":     {completionsPath, `[]`, "bad-input", "JSON object", 400},
		"no model":          {completionsPath, `{"prompt":"x"}`, "bad-input", "model:", 400},
		"no prompt":         {completionsPath, `{"model":"proposals"}`, "bad-input", "prompt:", 400},
		"unknown model":     {completionsPath, `{"model":"nothing","prompt":"x"}`, "not-found", "no such service", 404},
		"negative tokens":   {completionsPath, `{"model":"proposals","prompt":"x","max_tokens":-1}`, "bad-input", "max_tokens:", 400},
		"absurd tokens":     {completionsPath, `{"model":"proposals","prompt":"x","max_tokens":1e12}`, "bad-input", "max_tokens:", 400},
		"several choices":   {completionsPath, `{"model":"proposals","prompt":"x","n":3}`, "bad-input", "n:", 400},
		"stream is no bool": {completionsPath, `{"model":"proposals","prompt":"x","stream":"yes"}`, "bad-input", "stream:", 400},
		"no messages":       {"/v1/chat/completions", `{"model":"proposals"}`, "bad-input", "messages:", 400},
		"an image":          {"/v1/chat/completions", `{"model":"proposals","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, "bad-input", "messages/0/content", 400},
		"a large body":      {completionsPath, `{"model":"` + long + `"}`, "too-large", "4096 bytes", 413},
		"nothing there":     {"/v2", ``, "not-found", "/v2", 404},
		"a bad handle":      {"/v1/resume/AAAA", ``, "not-found", "seal", 404},
		"a bad service":     {"/v1/services/../x", ``, "not-found", "", 404},
	} {
		t.Run(name, func(t *testing.T) {
			code, body, _ := s.Call(0, http.MethodPost, c.path, plan.Installers, c.body)
			assert.Equal(t, code, c.code, body)
			p := parse(t, body)
			assert.Equal(t, p.Reason, c.reason)
			assert.Equal(t, p.Ran, "no")
			assert.Assert(t, strings.Contains(p.Detail, c.want), "%q does not contain %q", p.Detail, c.want)
		})
	}
	t.Run("a large header", func(t *testing.T) {
		code, body, _ := s.Call(0, http.MethodGet, "/v1/models", plan.Installers, "", "X-Large", long)
		assert.Equal(t, code, 431, body)
		assert.Equal(t, parse(t, body).Reason, "header-too-large")
	})
	t.Run("large headers that are still being sent", func(t *testing.T) {
		for _, size := range []int{33 << 10, 70 << 10} {
			header := strings.Repeat("x", size)
			for range 100 {
				code, body, _ := s.Call(0, http.MethodGet, "/v1/models", plan.Installers, "", "X-Large", header)
				assert.Equal(t, code, 431, body)
			}
		}
	})
	t.Run("a class that does not exist", func(t *testing.T) {
		code, body, _ := s.Call(0, http.MethodPost, completionsPath, plan.Installers, completionBody(promptSpec(1, "c"), ""), "Umberladder-Class", "first")
		assert.Equal(t, code, 400, body)
	})
}

func authorization(t *testing.T, s *inproc.Fleet) {
	code, body, _ := s.Call(0, http.MethodPost, completionsPath, "nobody", completionBody(promptSpec(1, "w"), ""))
	assert.Equal(t, code, 401)
	assert.Equal(t, parse(t, body).Reason, "wrong-key")
	triage := fmt.Sprintf(`{"model":%q,"prompt":"x"}`, plan.Triage)
	code, _, _ = s.Call(0, http.MethodPost, completionsPath, plan.Installers, triage)
	assert.Equal(t, code, 404, "another workspace's service")
	code, _, _ = s.Call(0, http.MethodPost, completionsPath, plan.FaultDesk, triage)
	assert.Equal(t, code, 200)
}

func completeResponses(t *testing.T, s *inproc.Fleet) {
	spec := promptSpec(5, "whole")
	code, body, _ := s.Call(1, http.MethodPost, completionsPath, plan.Installers, completionBody(spec, ""))
	assert.Equal(t, code, 200, body)
	var c struct {
		Choices []struct {
			Text    string
			Message struct{ Content string }
		}
		Usage struct {
			Completion int `json:"completion_tokens"`
		}
	}
	assert.NilError(t, json.Unmarshal([]byte(body), &c))
	assert.NilError(t, spec.CheckComplete(c.Choices[0].Text))
	assert.Equal(t, c.Usage.Completion, 5)

	chat := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"max_completion_tokens":3}`, plan.Proposals, spec.Prompt())
	code, body, _ = s.Call(1, http.MethodPost, "/v1/chat/completions", plan.Installers, chat)
	assert.Equal(t, code, 200, body)
	assert.NilError(t, json.Unmarshal([]byte(body), &c))
	assert.Equal(t, len(strings.Fields(c.Choices[0].Message.Content)), 3)

	code, body = s.Get(0, "/v1/models", plan.Installers)
	assert.Equal(t, code, 200)
	assert.Assert(t, strings.Contains(body, plan.Proposals) && !strings.Contains(body, plan.Triage) && !strings.Contains(body, plan.Bookings))
}

// slowSender sends one byte every 50 ms, as a Slowloris attack does, and expects
// the connection to be closed.
func slowSender(t *testing.T, s *inproc.Fleet) {
	c, err := net.Dial("tcp", s.Layout.VMs[0].Address.String())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	start := time.Now()
	for time.Since(start) < 5*time.Second {
		if _, err := c.Write([]byte("P")); err != nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	assert.Assert(t, time.Since(start) < 3*time.Second, "still connected after %s", time.Since(start))
}

// stalledClient requests a long stream and does not read it. The connection
// must be closed within a bounded time, and other requests must be served
// meanwhile.
func stalledClient(t *testing.T, s *inproc.Fleet) {
	before := negatedAbandonedCount(t, s)
	c, err := net.Dial("tcp", s.Layout.VMs[0].Address.String())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(1<<10))
	body := fmt.Sprintf(`{"model":%q,"stream":true,"prompt":%q}`, plan.Proposals, promptSpec(1500, "stalled").Prompt())
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		completionsPath, plan.ClientKey(plan.Installers), len(body), body)
	assert.NilError(t, err)
	code, _, _ := s.Call(0, http.MethodPost, completionsPath, plan.Installers, completionBody(promptSpec(3, "beside"), ""))
	assert.Equal(t, code, 200)
	check.Eventually(t, 15*time.Second, "the stalled stream ends", func() bool { return negatedAbandonedCount(t, s) <= before })
}

// negatedAbandonedCount returns the negated number of metric lines of VM 0 for
// requests that ended with the outcome "left". It falls when the first such
// request of a service, workspace and class is counted.
func negatedAbandonedCount(t *testing.T, s *inproc.Fleet) int {
	t.Helper()
	_, body := s.Get(0, "/metrics", "")
	ended := 0
	for _, line := range strings.Split(body, "\n") {
		if strings.HasPrefix(line, "umberladder_requests_total") && strings.Contains(line, `outcome="left"`) {
			ended++
		}
	}
	return -ended
}

func refusalExplained(t *testing.T, s *inproc.Fleet) {
	_, body, _ := s.Call(0, http.MethodPost, completionsPath, plan.Installers, `{"model":"nothing","prompt":"x"}`)
	p := parse(t, body)
	assert.Assert(t, p.Code != "")
	code, body := s.Get(1, "/v1/refusals/"+p.Code, "")
	assert.Equal(t, code, 200, "any VM explains it")
	assert.Assert(t, strings.Contains(body, "The request never ran."), body)
	code, _ = s.Get(1, "/v1/refusals/"+p.Code[:len(p.Code)-4]+"AAAA", "")
	assert.Equal(t, code, 404, "a forged code")
}

// resumed drops a stream after 20 tokens and resumes it through another VM.
func resumed(t *testing.T, s *inproc.Fleet) {
	spec := promptSpec(60, "resumed")
	var words []string
	handle, last := readTokens(t, s.URL(0, completionsPath), plan.ClientKey(plan.Installers), completionBody(spec, `,"stream":true`), 20, &words)
	assert.Equal(t, last, "19")
	code, body, _ := s.Call(1, http.MethodGet, "/v1/resume/"+handle, plan.Installers, "", "Last-Event-ID", last)
	assert.Equal(t, code, 200, body)
	words = append(words, tokenTexts(t, body)...)
	assert.NilError(t, spec.CheckComplete(strings.Join(words, "")))
	assert.Equal(t, s.Engines[0].Runs("resumed")+s.Engines[1].Runs("resumed"), 1)
	t.Run("through two VMs at once", func(t *testing.T) {
		spec := promptSpec(60, "resumed-twice")
		var head []string
		handle, last := readTokens(t, s.URL(0, completionsPath), plan.ClientKey(plan.Installers), completionBody(spec, `,"stream":true`), 10, &head)
		bodies := make([]string, 2)
		var g errgroup.Group
		for i := range bodies {
			g.Go(func() error {
				_, bodies[i], _ = s.Call(i, http.MethodGet, "/v1/resume/"+handle, plan.Installers, "", "Last-Event-ID", last)
				return nil
			})
		}
		assert.NilError(t, g.Wait())
		for _, body := range bodies {
			assert.NilError(t, spec.CheckComplete(strings.Join(append(slices.Clone(head), tokenTexts(t, body)...), "")))
		}
		assert.Equal(t, s.Engines[0].Runs("resumed-twice")+s.Engines[1].Runs("resumed-twice"), 1)
	})
	t.Run("by its own workspace only", func(t *testing.T) {
		code, _, _ := s.Call(1, http.MethodGet, "/v1/resume/"+handle, plan.FaultDesk, "", "Last-Event-ID", last)
		assert.Equal(t, code, 404)
	})
}

// readTokens starts a stream, reads n tokens and drops the connection. It returns
// the resume handle and the last event ID.
func readTokens(t *testing.T, url, key, body string, n int, words *[]string) (string, string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(t, resp.StatusCode, 200)
	r := bufio.NewReader(resp.Body)
	last := ""
	for len(*words) < n {
		line, err := r.ReadString('\n')
		assert.NilError(t, err)
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			last = strings.TrimSpace(id)
		}
		*words = append(*words, tokenTexts(t, line)...)
	}
	return resp.Header.Get("Umberladder-Resume"), last
}

// tokenTexts returns the texts of the tokens in a stream's events.
func tokenTexts(t *testing.T, body string) []string {
	t.Helper()
	var out []string
	for _, line := range strings.Split(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: {")
		if !ok {
			continue
		}
		var chunk struct {
			Choices []struct {
				Text   string
				Finish *string `json:"finish_reason"`
			}
		}
		assert.NilError(t, json.Unmarshal([]byte("{"+data), &chunk), line)
		if len(chunk.Choices) == 1 && chunk.Choices[0].Finish == nil {
			out = append(out, chunk.Choices[0].Text)
		}
	}
	return out
}

func TestIdempotency(t *testing.T) {
	s := inproc.New(t, 102, 3, nil)
	runs := func(tag string) int { return s.PlainServers[0].Runs(tag) + s.PlainServers[1].Runs(tag) }
	for name, k := range map[string]func() string{
		"UUIDv7":      newKey,
		"another key": func() string { return "booking-" + uuid.NewString() },
	} {
		t.Run(name+" sent again through every VM", func(t *testing.T) {
			tag, k := "again-"+strings.ReplaceAll(name, " ", "-"), k()
			done := make(chan string, 3)
			for i := range 3 {
				g := i
				t.Run("at once", func(t *testing.T) {
					code, body, _ := s.Call(g, http.MethodPost, bookPath+tag, plan.Installers, "", "Idempotency-Key", k)
					if code == 200 {
						done <- body
						return
					}
					assert.Equal(t, code, 409, body)
					assert.Equal(t, parse(t, body).Ran, "maybe")
				})
			}
			assert.Assert(t, len(done) >= 1)
			assert.Equal(t, runs(tag), 1)
		})
	}
	t.Run("another body with the key", func(t *testing.T) {
		k := newKey()
		s.Call(0, http.MethodPost, bookPath+"first", plan.Installers, "a", "Idempotency-Key", k)
		code, body, _ := s.Call(1, http.MethodPost, bookPath+"first", plan.Installers, "b", "Idempotency-Key", k)
		assert.Equal(t, code, 422, body)
	})
	t.Run("a lost response: the call may have run and is not run again", func(t *testing.T) {
		for _, p := range s.PlainServers {
			p.SetFaults(plain.Faults{DropResponse: true})
		}
		k := newKey()
		code, body, _ := s.Call(0, http.MethodPost, bookPath+"cut", plan.Installers, "", "Idempotency-Key", k)
		assert.Equal(t, code, 502, body)
		assert.Equal(t, parse(t, body).Ran, "maybe")
		for _, p := range s.PlainServers {
			p.SetFaults(plain.Faults{})
		}
		code, body, _ = s.Call(1, http.MethodPost, bookPath+"cut", plan.Installers, "", "Idempotency-Key", k)
		assert.Equal(t, code, 409, body)
		assert.Equal(t, runs("cut"), 1)
	})
	t.Run("the response to a keyed generation is returned again", func(t *testing.T) {
		spec, k := promptSpec(8, "keyed"), newKey()
		_, first, _ := s.Call(0, http.MethodPost, completionsPath, plan.Installers, completionBody(spec, ""), "Idempotency-Key", k)
		code, again, _ := s.Call(2, http.MethodPost, completionsPath, plan.Installers, completionBody(spec, ""), "Idempotency-Key", k)
		assert.Equal(t, code, 200, again)
		assert.Equal(t, s.Engines[0].Runs("keyed")+s.Engines[1].Runs("keyed"), 1)
		assert.Equal(t, completionText(t, first), completionText(t, again))
	})
	t.Run("handed over by a VM that shuts down", func(t *testing.T) {
		k := newKey()
		s.Call(0, http.MethodPost, bookPath+"handed", plan.Installers, "", "Idempotency-Key", k)
		s.Stop(1)
		s.Stop(2)
		code, body, _ := s.Call(0, http.MethodPost, bookPath+"handed", plan.Installers, "", "Idempotency-Key", k)
		assert.Assert(t, code == 200 || code == 503, body)
		check.Eventually(t, 5*time.Second, "the stored response is returned", func() bool {
			code, _, _ := s.Call(0, http.MethodPost, bookPath+"handed", plan.Installers, "", "Idempotency-Key", k)
			return code == 200
		})
		assert.Equal(t, runs("handed"), 1)
	})
}

func completionText(t *testing.T, body string) string {
	t.Helper()
	var c struct{ Choices []struct{ Text string } }
	assert.NilError(t, json.Unmarshal([]byte(body), &c), body)
	return c.Choices[0].Text
}

func TestShutdownCutsNothing(t *testing.T) {
	s := inproc.New(t, 103, 2, nil)
	spec := promptSpec(400, "long")
	body := make(chan string, 1)
	runInBackground(t, func() {
		_, b, _ := s.Call(0, http.MethodPost, completionsPath, plan.Installers, completionBody(spec, `,"stream":true`))
		body <- b
	})
	check.Eventually(t, 5*time.Second, "the stream runs", func() bool {
		return s.Engines[0].Runs("long")+s.Engines[1].Runs("long") == 1
	})
	s.BeginShutdown(0)
	check.Eventually(t, 5*time.Second, "not ready", func() bool {
		code, _ := s.Get(0, "/readyz", "")
		return code != 200
	})
	got := <-body
	assert.NilError(t, spec.CheckComplete(strings.Join(tokenTexts(t, got), "")))
	assert.Assert(t, strings.Contains(got, "[DONE]"))
	select {
	case <-s.Done(0):
	case <-time.After(10 * time.Second):
		t.Fatal("the VM did not end after its last request")
	}
}

// runInBackground runs f in another goroutine. The test waits for it in its
// cleanup.
func runInBackground(t *testing.T, f func()) {
	t.Helper()
	done := make(chan struct{})
	timer := time.AfterFunc(0, func() {
		defer close(done)
		f()
	})
	t.Cleanup(func() {
		if !timer.Stop() {
			<-done
		}
	})
}

func TestSettings(t *testing.T) {
	s := inproc.New(t, 104, 3, nil)
	path := "/v1/settings/workspaces/" + plan.Installers
	read := func(i int) (string, string) {
		code, body, h := s.CallOperator(i, http.MethodGet, path, plan.Installers, "")
		assert.Equal(t, code, 200, body)
		return body, h.Get("ETag")
	}
	doc, tag := read(0)
	t.Run("a workspace's key opens only its own subtree", func(t *testing.T) {
		for _, other := range []string{"/v1/settings/system", "/v1/settings/workspaces/" + plan.FaultDesk, "/v1/history/system"} {
			code, _, _ := s.CallOperator(0, http.MethodGet, other, plan.Installers, "")
			assert.Equal(t, code, 404, other)
		}
		code, _, _ := s.CallOperator(0, http.MethodGet, path, "nobody", "")
		assert.Equal(t, code, 401)
		code, _, _ = s.CallOperator(0, http.MethodPost, "/v1/drain", plan.Installers, "")
		assert.Equal(t, code, 403)
	})
	t.Run("a change needs the version it was made from", func(t *testing.T) {
		code, _, _ := s.CallOperator(0, http.MethodPut, path, plan.Installers, doc)
		assert.Equal(t, code, 428)
	})
	t.Run("a bad document names its member", func(t *testing.T) {
		bad := strings.Replace(doc, `"concurrency":4000`, `"concurrency":-1`, 1)
		code, body, _ := s.CallOperator(0, http.MethodPut, path, plan.Installers, bad, "If-Match", tag)
		assert.Equal(t, code, 422, body)
		assert.Assert(t, strings.Contains(body, `/limits/concurrency`), body)
	})
	t.Run("a dry run warns of a class that does not exist", func(t *testing.T) {
		missing := strings.Replace(doc, `"class":"urgent"`, `"class":"nothing"`, 1)
		code, body, _ := s.CallOperator(0, http.MethodPut, path+"?dry-run=true", plan.Installers, missing, "If-Match", tag)
		assert.Equal(t, code, 200, body)
		assert.Assert(t, strings.Contains(body, `the system has no class \"nothing\"`), body)
		now, _ := read(0)
		assert.Equal(t, now, doc)
	})
	t.Run("usage of a workspace on every VM", func(t *testing.T) {
		usage := "/v1/status/workspaces/"
		code, body, _ := s.CallOperator(1, http.MethodGet, usage+plan.Installers, plan.Installers, "")
		assert.Equal(t, code, 200, body)
		assert.Equal(t, strings.Count(body, `"open-share":133`), 3, body)
		assert.Assert(t, strings.Contains(body, `"silent":[]`), body)
		code, _, _ = s.CallOperator(1, http.MethodGet, usage+plan.FaultDesk, plan.Installers, "")
		assert.Equal(t, code, 404)
	})
	t.Run("in force everywhere in time", func(t *testing.T) {
		next := strings.Replace(doc, `"concurrency":4000`, `"concurrency":9`, 1)
		code, body, _ := s.CallOperator(1, http.MethodPut, path, plan.Installers, next, "If-Match", tag)
		assert.Equal(t, code, 200, body)
		for i := range 3 {
			check.Eventually(t, 3*time.Second, "in force", func() bool {
				got, _ := read(i)
				return strings.Contains(got, `"concurrency":9`)
			})
		}
		code, body, _ = s.CallOperator(2, http.MethodPut, path, plan.Installers, doc, "If-Match", tag)
		assert.Equal(t, code, 412, body)
		_, body, _ = s.CallOperator(2, http.MethodGet, "/v1/history/workspaces/"+plan.Installers, plan.Installers, "")
		assert.Assert(t, strings.Contains(body, "/limits/concurrency changed") && strings.Contains(body, "operator-of-installers"), body)
	})
	t.Run("starting while the store is down", func(t *testing.T) {
		s.Stop(2)
		s.Store.SetFaults(store.Faults{Down: true})
		defer s.Store.SetFaults(store.Faults{})
		s.Start(2)
		s.WaitReady(2)
		got, _ := read(2)
		assert.Assert(t, strings.Contains(got, `"concurrency":9`), "the snapshot comes from peers")
		code, body, _ := s.CallOperator(2, http.MethodPut, path, plan.Installers, doc, "If-Match", `"1"`)
		assert.Equal(t, code, 503, body)
	})
}

func TestBurn(t *testing.T) {
	s := inproc.New(t, 105, 2, nil)
	for _, e := range s.Engines {
		e.SetFaults(engine.Faults{Stall: 700 * time.Millisecond})
	}
	for i := range 2 {
		code, body, _ := s.Call(i, http.MethodPost, completionsPath, plan.Installers, completionBody(promptSpec(6, "slow"), ""))
		assert.Equal(t, code, 200, body)
	}
	_, body, _ := s.CallOperator(0, http.MethodGet, "/v1/burn?merged=true", "system", "")
	var r struct {
		VMs    []string `json:"vms"`
		Silent []string `json:"silent-vms"`
		Rows   []struct {
			Objective string
			Alert     string
			Windows   []struct{ Bad, Total int }
		}
	}
	assert.NilError(t, json.Unmarshal([]byte(body), &r), body)
	assert.Equal(t, len(r.VMs), 2)
	assert.Equal(t, r.Rows[0].Objective, "stall-time")
	assert.Equal(t, r.Rows[0].Windows[0].Bad, 2, "both VMs' stalls")
	assert.Equal(t, r.Rows[0].Alert, "page")
	s.Stop(1)
	_, body, _ = s.CallOperator(0, http.MethodGet, "/v1/burn?merged=true", plan.FaultDesk, "")
	assert.NilError(t, json.Unmarshal([]byte(body), &r), body)
	assert.Equal(t, len(r.Rows), 0, "a workspace sees only its own rows")
}
