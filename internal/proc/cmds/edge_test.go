package cmds

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestEdgeStatus guards against a command that sends the operators' key to a listener without
// authentication, that takes metrics for a status, or whose flags contradict each other.
func TestEdgeStatus(t *testing.T) {
	t.Setenv(operatorKeyVariable, "secret")
	const status = `{"vm":"vm-2","failure-domain":"a","settings-version":37,"services":[{"service":"chat","coordinator":"vm-1","coordinates":false}]}`
	serve := func(body string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			assert.Check(t, r.URL.Path == "/status" && !strings.Contains(r.Header.Get("Authorization"), "secret"))
			_, _ = io.WriteString(w, body)
		}))
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	address := serve(status + "\n")
	out := runCommand(t, ExitOK, "", "status", "--edge", address)
	assert.Equal(t, out, "VM vm-2 in a, settings version 37\n\nservice chat: coordinated by vm-1\n")
	for _, flag := range []string{"--format", "--output"} {
		runCommand(t, ExitOK, status, "status", "--edge", address, flag, "json")
	}
	for _, format := range []string{"table", "json"} {
		runCommand(t, ExitFailure, "older version", "status", "--edge", serve("umberladder_ready 1\n"), "--format", format)
	}
	runCommand(t, ExitUsage, "--edge: want an IP address", "status", "--edge", "vm-2")
	runCommand(t, ExitUsage, "none of the others can be", "status", "--edge", address, "--workspace", "w")
	runCommand(t, ExitUsage, "none of the others can be", "status", "--edge", address, "--server", address)
	runCommand(t, ExitFailure, "does not answer", "status", "--edge", "127.9.9.9:1")
}

// TestExplainLog guards against a command that needs a code or a settings file for log lines, and
// against input without a refusal that passes for one.
func TestExplainLog(t *testing.T) {
	explain := func(in string, args ...string) (string, string, error) {
		var out, errOut bytes.Buffer
		root := newRoot()
		root.SetArgs(append([]string{"explain", "--log"}, args...))
		root.SetIn(strings.NewReader(in))
		root.SetOut(&out)
		root.SetErr(&errOut)
		err := root.Execute()
		return out.String(), errOut.String(), err
	}
	const refused = `{"msg":"call ended","request":"r","status":503,"reason":"unreachable","ran":"no","retry-after":"200ms"}` + "\n"
	out, others, err := explain(refused + "other\n" + refused)
	assert.NilError(t, err)
	const want = "Call r was refused with status 503.\nThis VM can't reach the backend servers (reason unreachable).\nThe call did not run: it was sent to no server.\nIts Retry-After was 200ms.\n"
	assert.Equal(t, out, want+"\n"+want)
	assert.Equal(t, others, "1 lines are not of refused calls\n")
	_, _, err = explain("other\n")
	assert.ErrorContains(t, err, "no line")
	_, _, err = explain(refused, "CODE")
	assert.ErrorContains(t, err, "unknown command")
	runCommand(t, ExitUsage, "config", "explain", "CODE")
	runCommand(t, ExitUsage, "none of the others can be", "explain", "--log", "--config", "x")
}
