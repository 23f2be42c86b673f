package conf

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/test/check"
)

const minimalNode = `{
  "name": "vm-1", "failure-domain": "fd-a",
  "callers-address": "127.0.0.1:8080", "operators-address": "127.0.0.1:8081", "peers-address": "127.0.0.1:8082",
  "store-address": "127.0.0.1:7000", "vm-list-address": "127.0.0.1:7001",
  "key-ring": [{"id": 1, "secret": "00112233445566778899aabbccddeeff"}]
}`

func TestInvalidMembers(t *testing.T) {
	for name, c := range map[string]struct{ old, new, path, want string }{
		"unknown member":   {`"name"`, `"title"`, "/title", "unknown member"},
		"missing name":     {`"name": "vm-1", `, ``, "/name", "missing"},
		"missing address":  {`"callers-address": "127.0.0.1:8080", `, ``, "/callers-address", "IP address with a port"},
		"no ring":          {`{"id": 1, "secret": "00112233445566778899aabbccddeeff"}`, ``, "/key-ring", "1 or 2 secrets"},
		"short secret":     {`8899aabbccddeeff"`, `"`, "/key-ring/0/secret", "at least 16 bytes"},
		"the same id":      {`"key-ring": [`, `"key-ring": [{"id": 1, "secret": "00112233445566778899aabbccddeeff"},`, "/key-ring/1/id", "there already"},
		"log level":        {`"name"`, `"log-level": "loud", "name"`, "/log-level", "debug, info, warn, error"},
		"impossible limit": {`"name"`, `"limits": {"body-bytes": 1}, "name"`, "/limits/body-bytes", "from 1024"},
		"wrong type":       {`"name"`, `"limits": {"body-bytes": "big"}, "name"`, "/limits/body-bytes", "want int"},
		"a bare number":    {`"name"`, `"limits": {"caller-stall": 30}, "name"`, "/limits/caller-stall", "want"},
		"not JSON":         {`{`, `{{`, "", "not valid JSON"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(minimalNode, c.old, c.new, 1)))
			check.FieldError(t, err, c.path, c.want)
		})
	}
	_, err := Read("no such file")
	assert.Assert(t, err != nil)
}

// TestDocumentedDefaults checks that docs/SETTINGS.md and the code have the same
// members with the same defaults.
func TestDocumentedDefaults(t *testing.T) {
	n, err := Parse([]byte(minimalNode))
	assert.NilError(t, err)
	want := map[string]any{
		"/operator-keys":                 "none",
		"/log-level":                     n.LogLevel,
		"/placement":                     n.Placement,
		"/claim-lease":                   n.ClaimTTL,
		"/store-budget/calls-per-second": n.StoreBudget.CallsPerSecond,
		"/store-budget/burst":            n.StoreBudget.Burst,
		"/limits/body-bytes":             n.Limits.MaxBodyBytes,
		"/limits/header-bytes":           n.Limits.MaxHeaderBytes,
		"/limits/answer-bytes":           n.Limits.MaxResponseBytes,
		"/limits/connections":            n.Limits.MaxConns,
		"/limits/request-read":           n.Limits.ReadTimeout,
		"/limits/connection-idle":        n.Limits.IdleTimeout,
		"/limits/caller-stall":           n.Limits.WriteTimeout,
		"/limits/server-connect":         n.Limits.ConnectTimeout,
		"/limits/engine-idle":            n.Limits.EngineIdleTimeout,
		"/limits/load-interval":          n.Limits.LoadInterval,
		"/limits/drain-delay":            n.Limits.DrainDelay,
		"/generation/patience":           n.Generation.TokenTimeout,
		"/generation/detach":             n.Generation.DetachTimeout,
		"/generation/resume-delay":       n.Generation.ResumeDelay,
		"/generation/resume-delay-limit": n.Generation.ResumeDelayLimit,
		"/generation/resume-tries":       n.Generation.ResumeTries,
		"/generation/start-tries":        n.Generation.StartTries,
		"/generation/first-token-pace":   n.Generation.FirstTokenPace,
		"/generation/token-pace":         n.Generation.TokenPace,
		"/memory-mb":                     n.Memory / 1_000_000,
		"/descriptors":                   n.Descriptors,
	}
	page, err := os.ReadFile("../../../docs/SETTINGS.md")
	assert.NilError(t, err)
	documented := map[string]string{}
	for _, m := range regexp.MustCompile("(?m)^\\| `(/[^`]+)` \\| ([^|]*) \\|").FindAllStringSubmatch(string(page), -1) {
		if v := strings.TrimSpace(m[2]); v != "" {
			documented[m[1]] = v
		}
	}
	for member, v := range want {
		assert.Equal(t, documented[member], formatDefault(v), member)
	}
	assert.Equal(t, len(documented), len(want))
}

func formatDefault(v any) string {
	if d, ok := v.(time.Duration); ok {
		return d.String()
	}
	return fmt.Sprint(v)
}

func FuzzParse(f *testing.F) {
	f.Add(minimalNode)
	f.Fuzz(func(_ *testing.T, s string) { _, _ = Parse([]byte(s)) })
}
