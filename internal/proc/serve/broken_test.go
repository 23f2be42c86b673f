package serve_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/fake/engine"
	"umberladder/internal/fake/plain"
	"umberladder/internal/load/plan"
	"umberladder/internal/test/check"
	"umberladder/internal/test/inproc"
)

// brokenHeads are responses whose head or trailer no sound server sends.
var brokenHeads = map[string]string{
	"status 000":                          "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
	"a control byte in a name":            "HTTP/1.1 200 OK\r\nX-\x01Note: a\r\nContent-Length: 2\r\n\r\n{}",
	"a blank in a name":                   "HTTP/1.1 200 OK\r\nX Note: a\r\nContent-Length: 2\r\n\r\n{}",
	"a blank before a colon":              "HTTP/1.1 200 OK\r\nX-Note : a\r\nContent-Length: 2\r\n\r\n{}",
	"a blank in the name of a length":     "HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\n{}",
	"a blank in the name of a coding":     "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	"a blank in a trailer":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Note: a\r\n\r\n",
	"a refusal with a blank in a trailer": "HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n11\r\n{\"started\":false}\r\n0\r\nX Note: a\r\n\r\n",
	"two lengths":                         "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nContent-Length: 2\r\n\r\n{}",
	"chunks that are not the last coding": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, identity\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	"a refusal with a blank in a name":    "HTTP/1.1 503 Service Unavailable\r\nX Note: a\r\nContent-Length: 17\r\n\r\n{\"started\":false}",
}

// TestBrokenHead guards against responses with a broken head or trailer that reach clients as
// answers, and against calls that ran and are reported as not run, or run again, after such a
// response.
func TestBrokenHead(t *testing.T) {
	s := inproc.New(t, 107, 2, nil)
	for name, text := range brokenHeads {
		tag := "broken-" + strings.ReplaceAll(name, " ", "-")
		t.Run("a booking, "+name, func(t *testing.T) {
			k := newKey()
			setRawResponse(s, text)
			code, body, _ := s.Call(0, http.MethodPost, bookPath+tag, plan.Installers, "", "Idempotency-Key", k)
			assertMayHaveRun(t, code, body)
			setRawResponse(s, "")
			code, body, _ = s.Call(1, http.MethodPost, bookPath+tag, plan.Installers, "", "Idempotency-Key", k)
			assert.Equal(t, code, http.StatusConflict, body)
			assert.Equal(t, s.PlainServers[0].Runs(tag)+s.PlainServers[1].Runs(tag), 1)
			assertServing(t, s)
		})
		t.Run("a generation, "+name, func(t *testing.T) {
			setRawResponse(s, text)
			const tokens = 8
			body := completionBody(promptSpec(tokens, tag), "")
			code, got, _ := s.Call(0, http.MethodPost, completionsPath, plan.Installers, body, "Idempotency-Key", newKey())
			if code == http.StatusOK { // the generation was resumed
				assert.Equal(t, len(strings.Fields(completionText(t, got))), tokens, got)
			} else {
				assertMayHaveRun(t, code, got)
			}
			setRawResponse(s, "")
			assertServing(t, s)
		})
	}
}

// setRawResponse makes all servers send text in place of their responses, or their responses if it
// is empty.
func setRawResponse(s *inproc.Fleet, text string) {
	for _, e := range s.Engines {
		e.SetFaults(engine.Faults{RawResponse: text})
	}
	for _, p := range s.PlainServers {
		p.SetFaults(plain.Faults{RawResponse: text})
	}
}

// assertMayHaveRun fails the test unless a response says that the call was not answered and may
// have run.
func assertMayHaveRun(t *testing.T, status int, body string) {
	t.Helper()
	assert.Assert(t, status == http.StatusBadGateway || status == http.StatusServiceUnavailable, "status %d: %s", status, body)
	assert.Equal(t, parse(t, body).Ran, "maybe")
}

// assertServing fails the test unless all servers take calls again after failures.
func assertServing(t *testing.T, s *inproc.Fleet) {
	t.Helper()
	const calls = 4 // in succession, so that each server takes some
	check.Eventually(t, 10*time.Second, "calls are served", func() bool {
		for range calls {
			booked, _, _ := s.Call(0, http.MethodPost, bookPath+"sound", plan.Installers, "", "Idempotency-Key", newKey())
			completed, _, _ := s.Call(0, http.MethodPost, completionsPath, plan.Installers, completionBody(promptSpec(1, "sound"), ""))
			if booked != http.StatusOK || completed != http.StatusOK {
				return false
			}
		}
		return true
	})
}
