package cmds

import (
	"bytes"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"umberladder/internal/load/plan"
	"umberladder/internal/test/inproc"
)

// execute runs the command line and returns its exit code and combined output.
func execute(args ...string) (int, string) {
	var out bytes.Buffer
	code := Main(args, &out, &out)
	return code, out.String()
}

// runCommand runs the command line and fails the test unless it exits with the code
// and its output contains want. It returns the output.
func runCommand(t *testing.T, code int, want string, args ...string) string {
	t.Helper()
	got, out := execute(args...)
	assert.Equal(t, got, code, out)
	assert.Assert(t, strings.Contains(out, want), "%q does not contain %q", out, want)
	return out
}

// TestOffline runs commands that need no running VM, and checks the exit codes of
// commands that reach none.
func TestOffline(t *testing.T) {
	dir := t.TempDir()
	p, err := plan.FindProfile("demo")
	assert.NilError(t, err)
	f, err := plan.New(dir, p, 1, 9)
	assert.NilError(t, err)
	assert.NilError(t, f.Write())
	node, system := filepath.Join(dir, "vm-1.json"), filepath.Join(dir, "system.json")
	bad := filepath.Join(dir, "bad.json")
	assert.NilError(t, os.WriteFile(bad, []byte(`{"classes":[{"name":"a","rank":-1}],"models":[]}`), 0o600))

	t.Run("check", func(t *testing.T) {
		out := runCommand(t, ExitOK, "valid node settings", "settings", "check", node, system, filepath.Join(dir, "installers.json"))
		assert.Assert(t, strings.Contains(out, "valid system settings") && strings.Contains(out, "valid workspace settings"))
		runCommand(t, ExitInvalid, "/classes/0/rank: want a whole number", "settings", "check", bad, node)
		runCommand(t, ExitInvalid, "no such file", "settings", "check", filepath.Join(dir, "none.json"))
		runCommand(t, ExitInvalid, "unknown member", "settings", "check", "--as", "workspace", system)
	})
	t.Run("check an edge VM's file", func(t *testing.T) {
		edge := filepath.Join(dir, "edge.json")
		text := `{"name":"e-1","failure-domain":"a","callers-address":"10.0.0.1:80","ready-address":"10.0.0.1:81",
"metrics-address":"10.0.0.1:82","peers-address":"10.0.0.1:83","store-address":"10.0.0.2:80"}`
		assert.NilError(t, os.WriteFile(edge, []byte(text), 0o600))
		runCommand(t, ExitOK, "valid edge settings", "settings", "check", edge)
		assert.NilError(t, os.WriteFile(edge, []byte(strings.Replace(text, "10.0.0.1:83", "here", 1)), 0o600))
		runCommand(t, ExitInvalid, "/peers-address", "settings", "check", edge)
	})
	t.Run("help", func(t *testing.T) {
		runCommand(t, ExitOK, "retry-budget/window", "edge", "--help")
		runCommand(t, ExitOK, "Exit codes:", "--help")
		runCommand(t, ExitOK, "commit ", "version")
	})
	t.Run("usage", func(t *testing.T) {
		runCommand(t, ExitUsage, "unknown command", "dance")
		runCommand(t, ExitUsage, "config", "serve")
		runCommand(t, ExitInvalid, "/classes/0/rank", "settings", "check", "--as", "system", bad)
		runCommand(t, ExitInvalid, "unknown member", "serve", "--config", bad)
		runCommand(t, ExitUsage, "--output", "status", "--output", "xml")
		runCommand(t, ExitFailure, "IP address", "status", "--server", "localhost:1")
		runCommand(t, ExitOK, "Examples:", "settings", "put", "--help")
		runCommand(t, ExitOK, "bash", "completion", "bash")
		runCommand(t, ExitOK, "umberladder", "version")
	})
	t.Run("a forged code", func(t *testing.T) {
		runCommand(t, ExitForged, "can't be explained", "explain", "AAAA", "--config", node)
	})
	t.Run("no response", func(t *testing.T) {
		runCommand(t, ExitFailure, "does not answer", "status", "--server", "127.9.9.9:1")
	})
}

// TestOnline runs commands against a running fleet.
func TestOnline(t *testing.T) {
	s := inproc.New(t, 106, 2, nil)
	server := []string{"--server", s.Layout.Operators[0].Address.String()}
	key := func(subtree string) []string { return append(server, "--key", plan.OperatorKey(subtree)) }
	with := func(flags []string, args ...string) []string { return append(args, flags...) }
	path := "/workspaces/" + plan.Installers

	t.Run("get, put and history", func(t *testing.T) {
		runCommand(t, ExitOK, "/system", with(key("system"), "settings", "get")...)
		out := runCommand(t, ExitOK, "version ", with(key(plan.Installers), "settings", "get", path)...)
		version, doc, _ := strings.Cut(strings.TrimPrefix(out, "version "), "\n")
		file := filepath.Join(t.TempDir(), "doc.json")
		assert.NilError(t, os.WriteFile(file, []byte(strings.Replace(doc, "4000", "77", 1)), 0o600))
		runCommand(t, ExitOK, "would be accepted", with(key(plan.Installers), "settings", "put", path, file, "--from", version, "--dry-run")...)
		runCommand(t, ExitOK, "/limits/concurrency changed", with(key(plan.Installers), "settings", "put", path, file, "--from", version, "--change", "c1", "--by", "ada")...)
		runCommand(t, ExitOK, "change c1", with(key(plan.Installers), "settings", "put", path, file, "--from", version, "--change", "c1")...)
		runCommand(t, ExitConflict, "changed by operator-of-installers (ada)", with(key(plan.Installers), "settings", "put", path, file, "--from", version)...)
		runCommand(t, ExitOK, "operator-of-installers (ada)", with(key(plan.Installers), "settings", "history", path)...)
		runCommand(t, ExitFailure, "there is nothing", with(key(plan.FaultDesk), "settings", "get", path)...)
	})
	t.Run("status and burn", func(t *testing.T) {
		runCommand(t, ExitOK, "vm-2", with(key("system"), "status")...)
		runCommand(t, ExitOK, `"ready":true`, with(key("system"), "status", "--output", "json")...)
		code, body, _ := s.Call(0, http.MethodPost, "/v1/completions", plan.Installers, `{"model":"proposals","prompt":"produce=3"}`)
		assert.Equal(t, code, 200, body)
		runCommand(t, ExitOK, "counts of 2 VMs", with(key("system"), "report", "burn")...)
		runCommand(t, ExitOK, "<svg", with(key("system"), "report", "burn", "--output", "page")...)
	})
	t.Run("drain", func(t *testing.T) {
		runCommand(t, ExitFailure, "only the system's operators", with(key(plan.Installers), "drain")...)
		runCommand(t, ExitOK, "leaving", with(key("system"), "drain")...)
		<-s.Done(0)
	})
}
