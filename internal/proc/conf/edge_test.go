package conf_test

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/proc/conf"
	"umberladder/internal/test/check"
)

const edge = `{"name":"edge-1","failure-domain":"a","callers-address":"10.0.0.1:80","ready-address":"10.0.0.1:81",
"metrics-address":"10.0.0.1:82","peers-address":"10.0.0.1:83","store-address":"10.0.0.2:80"}`

func TestEdge(t *testing.T) {
	e, err := conf.ParseEdge([]byte(edge))
	assert.NilError(t, err)
	assert.Equal(t, e.RevokeBound, conf.DefaultRevokeBound)
	for path, change := range map[string][2]string{
		"/name":                {`"edge-1"`, `"Edge 1"`},
		"/ready-address":       {`"10.0.0.1:81"`, `"10.0.0.1"`},
		"/stop-grace":          {`{"name"`, `{"stop-grace":"soon","name"`},
		"/retry-budget":        {`{"name"`, `{"retry-budget":3,"name"`},
		"/seeds/1":             {`{"name"`, `{"seeds":["10.0.0.1:80","x"],"name"`},
		"/processor-cores":     {`{"name"`, `{"processor-cores":0,"name"`},
		"/cold-limit/slack":    {`{"name"`, `{"cold-limit":{"slack":-1},"name"`},
		"/workspace-weights/w": {`{"name"`, `{"workspace-weights":{"v":2,"w":0},"name"`},
		"/regions/b":           {`{"name"`, `{"regions":{"a":"north","b":""},"name"`},
		"/retry-budget/x":      {`{"name"`, `{"retry-budget":{"x":1},"name"`},
		"/memory-mb":           {`{"name"`, `{"memory-mb":-1,"name"`},
		"/descriptors":         {`{"name"`, `{"descriptors":1.5,"name"`},
	} {
		_, err := conf.ParseEdge([]byte(strings.Replace(edge, change[0], change[1], 1)))
		check.FieldError(t, err, path, "")
	}
}

// TestEdgeTemplate substitutes values into deploy/settings.json as the platform does,
// and checks that the result is valid.
func TestEdgeTemplate(t *testing.T) {
	data, err := os.ReadFile("../../../deploy/settings.json")
	assert.NilError(t, err)
	values := map[string]string{
		"nodeName|json": `"edge-a-1"`, "zone|json": `"a"`, "listen.front|json": `"10.0.0.1:80"`, "listen.ready|json": `"10.0.0.1:81"`,
		"ip": "10.0.0.1", "internalPorts.0": "7200", "listen.control|json": `"10.0.0.1:7215"`, "seeds|json": `["10.0.0.3:7215"]`, "platform.address|json": `"10.0.0.2:80"`,
		"bounds.revokeMs": "5000", "bounds.configApplyMs": "3000", "bounds.graceS": "8", "bounds.retryBudgetRatio": "0.2", "bounds.budgetExtra": "54", "bounds.budgetWindowS": "10",
		"zones|json": `{"a":"north","b":"south"}`, "heartbeatMs": "1200", "#bounds.coldExcess": "", "/bounds.coldExcess": "", "bounds.coldExcess": "1.5", "bounds.coldSlack": "5",
		"limits.cpuShare": "0.4", "limits.linkMbps": "20.0", "#limits.memoryMb": "", "/limits.memoryMb": "", "limits.memoryMb": "134",
		"#limits.maxFds": "", "/limits.maxFds": "", "limits.maxFds": "4100",
	}
	text := regexp.MustCompile(`\{\{(.*?)\}\}`).ReplaceAllStringFunc(string(data), func(s string) string {
		v, ok := values[strings.Trim(s, "{}")]
		assert.Assert(t, ok, "no value for %s", s)
		return v
	})
	e, err := conf.ParseEdge([]byte(text))
	assert.NilError(t, err)
	assert.Equal(t, e.StopGrace, 8*time.Second)
	assert.Equal(t, e.RetryBudget.Extra, 54.0)
	assert.Equal(t, e.LinkBitsPerSecond, 20e6)
	assert.Equal(t, len(e.Seeds), 1)
	assert.Equal(t, e.Regions["b"], ident.Region("south"))
	assert.Equal(t, e.ColdLimit.Of(35), 57.5)
	assert.Equal(t, e.Memory, 134_000_000)
	assert.Equal(t, e.Descriptors, 4100)
}

// TestEdgeMemory guards against a VM without memory for its clients where the platform states none.
func TestEdgeMemory(t *testing.T) {
	for text, want := range map[string]int{`{"name"`: 128_000_000, `{"memory-mb":0,"name"`: 128_000_000, `{"memory-mb":284,"name"`: 284_000_000} {
		e, err := conf.ParseEdge([]byte(strings.Replace(edge, `{"name"`, text, 1)))
		assert.NilError(t, err)
		assert.Equal(t, e.Memory, want)
	}
}

func TestWorkspaceWeights(t *testing.T) {
	e, err := conf.ParseEdge([]byte(strings.Replace(edge, `{"name"`, `{"workspace-weights":{"v":2.5},"name"`, 1)))
	assert.NilError(t, err)
	assert.Equal(t, e.WorkspaceWeight("v"), 2.5)
	assert.Equal(t, e.WorkspaceWeight("w"), conf.DefaultWorkspaceWeight)
}
