package config_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"umberladder/internal/state/config"
	"umberladder/internal/test/check"
)

var keyHash = strings.Repeat("ab", 32)

const system = `{
  "operator-keys": ["KEY"],
  "classes": [{"name": "urgent", "rank": 0, "max-wait": "2s", "reserve": 0.1}],
  "models": [{"name": "m", "servers": [{"name": "e1", "address": "127.0.0.1:9000", "failure-domain": "fd-a"}]}]
}`

const workspace = `{
  "caller-keys": ["KEY"],
  "limits": {"concurrency": 5},
  "services": [
    {"name": "drafts", "kind": "model", "model": "m", "class": "urgent"},
    {"name": "app", "kind": "plain", "class": "urgent", "servers": [{"name": "a1", "address": "127.0.0.1:9100", "failure-domain": "fd-a"}]}
  ]
}`

func doc(s string) []byte { return []byte(strings.ReplaceAll(s, "KEY", keyHash)) }

func TestSystemFaults(t *testing.T) {
	for name, c := range map[string]struct{ old, new, path, want string }{
		"not JSON":          {`{`, `{,`, "", "not valid JSON"},
		"unknown member":    {`"rank"`, `"rang"`, "/classes/0/rang", "unknown member"},
		"wrong type":        {`"rank": 0`, `"rank": "first"`, "/classes/0/rank", "want int"},
		"impossible value":  {`"rank": 0`, `"rank": 99`, "/classes/0/rank", "from 0 to 15"},
		"missing member":    {`"rank": 0, `, ``, "/classes/0/rank", "missing"},
		"bad duration":      {`"2s"`, `"2 s"`, "/classes/0/max-wait", "duration"},
		"bad share":         {`0.1`, `1.5`, "/classes/0/reserve", "from 0 to 0.9"},
		"missing address":   {`"address": "127.0.0.1:9000", `, ``, "/models/0/servers/0/address", "IP address"},
		"host name":         {`127.0.0.1:9000`, `localhost:9000`, "/models/0/servers/0/address", "IP address"},
		"bad key hash":      {`KEY`, `secret`, "/operator-keys/0", "64 hexadecimal"},
		"bad name":          {`"urgent"`, `"../urgent"`, "/classes/0/name", "hold a-z"},
		"no class":          {`{"name": "urgent", "rank": 0, "max-wait": "2s", "reserve": 0.1}`, ``, "/classes", "at least one"},
		"the same name":     {`"models": [`, `"models": [{"name":"m","servers":[]},`, "/models/1/name", "there already"},
		"a member repeated": {`"rank": 0`, `"rank": 0, "rank": 1`, "/classes/0/rank", "not valid JSON"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := config.ParseSystem(doc(strings.Replace(system, c.old, c.new, 1)), 1)
			check.FieldError(t, err, c.path, c.want)
		})
	}
	_, err := config.ParseSystem(doc(system), 1)
	assert.NilError(t, err)
}

func TestWorkspaceFaults(t *testing.T) {
	for name, c := range map[string]struct{ old, new, path, want string }{
		"kind":             {`"plain"`, `"queue"`, "/services/1/kind", `"model" or "plain"`},
		"objective":        {`"kind": "model"`, `"kind": "model", "objective": "speed"`, "/services/0/objective", "stall-time"},
		"model of a plain": {`"kind": "plain"`, `"kind": "plain", "model": "m"`, "/services/1/model", "not a model"},
		"no model":         {`"model": "m", `, ``, "/services/0/model", "missing"},
		"no key":           {`"KEY"`, ``, "/caller-keys", "at least one"},
		"limit":            {`"concurrency": 5`, `"concurrency": 0`, "/limits/concurrency", "from 1"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := config.ParseWorkspace("w", doc(strings.Replace(workspace, c.old, c.new, 1)), 1)
			check.FieldError(t, err, c.path, c.want)
		})
	}
	w, err := config.ParseWorkspace("w", doc(workspace), 3)
	assert.NilError(t, err)
	assert.Equal(t, w.Limits.Concurrency, 5)
	assert.Equal(t, w.Service("app").Timeout, config.DefaultTimeout)
	assert.Assert(t, w.Service("other") == nil)
}

func TestPaths(t *testing.T) {
	for path, valid := range map[string]bool{
		"/system": true, "/workspaces/a": true,
		"/workspaces/": false, "/workspaces/a/b": false, "/workspaces/..": false, "/other": false, "": false,
	} {
		err := config.Validate(path, nil)
		if valid && path != config.SystemPath {
			assert.NilError(t, err, path)
		}
		if !valid {
			assert.Assert(t, err != nil, path)
		}
	}
}

// TestVersionsRise guards against reverting a document. It applies versions of two
// documents in random order: after each step a document has the highest version
// applied so far, and the snapshot's revision does not decrease.
func TestVersionsRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := config.New()
		high := map[string]uint64{}
		for range rapid.IntRange(1, 30).Draw(t, "documents") {
			path := rapid.SampledFrom([]string{config.SystemPath, "/workspaces/w"}).Draw(t, "path")
			d := config.Document{Path: path, Version: rapid.Uint64Range(1, 20).Draw(t, "version"), Body: doc(system)}
			if path != config.SystemPath {
				d.Body = doc(workspace)
				if rapid.Bool().Draw(t, "deleted") {
					d.Body = nil
				}
			}
			n, err := s.With(d)
			assert.NilError(t, err)
			high[path] = max(high[path], d.Version)
			assert.Equal(t, n.Documents[path].Version, high[path])
			assert.Assert(t, n.Revision >= s.Revision)
			s = n
		}
	})
}

func TestWorkspaceByKey(t *testing.T) {
	key := "the key"
	h := config.HashKey(key)
	body := strings.ReplaceAll(workspace, "KEY", hex(h))
	s, err := config.New().With(config.Document{Path: "/workspaces/w", Version: 1, Body: []byte(body)})
	assert.NilError(t, err)
	assert.Equal(t, string(s.WorkspaceByKey(key).Name), "w")
	assert.Assert(t, s.WorkspaceByKey("another") == nil)
	gone, err := s.With(config.Document{Path: "/workspaces/w", Version: 2})
	assert.NilError(t, err)
	assert.Assert(t, gone.WorkspaceByKey(key) == nil)
}

func hex(h config.KeyHash) string {
	const digits = "0123456789abcdef"
	var b strings.Builder
	for _, x := range h {
		b.WriteByte(digits[x>>4])
		b.WriteByte(digits[x&15])
	}
	return b.String()
}

func FuzzParse(f *testing.F) {
	f.Add(system)
	f.Add(workspace)
	f.Fuzz(func(_ *testing.T, s string) {
		_, _ = config.ParseSystem([]byte(s), 1)
		_, _ = config.ParseWorkspace("w", []byte(s), 1)
	})
}

// BenchmarkWith measures a change to one of n workspaces, and reports the memory
// used by each workspace.
func BenchmarkWith(b *testing.B) {
	for _, n := range []int{100, 1000, 2500} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			before := check.HeapInUse()
			s := config.New()
			for i := range n {
				body := strings.ReplaceAll(workspace, "KEY", hex(config.HashKey(fmt.Sprint(i))))
				var err error
				s, err = s.With(config.Document{Path: fmt.Sprintf("/workspaces/w%d", i), Version: uint64(i + 1), Body: []byte(body)})
				assert.NilError(b, err)
			}
			each := float64(check.HeapInUse()-before) / float64(n)
			version := uint64(n)
			for b.Loop() {
				version++
				next, err := s.With(config.Document{Path: "/workspaces/w1", Version: version, Body: doc(workspace)})
				assert.NilError(b, err)
				s = next
			}
			b.ReportMetric(each, "bytes/workspace")
		})
	}
}
