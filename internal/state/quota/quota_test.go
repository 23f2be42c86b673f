package quota_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"umberladder/internal/state/config"
	"umberladder/internal/state/quota"
)

const system = `{
  "classes": [{"name": "urgent", "rank": 0, "reserve": 0.1}],
  "models": [{"name": "m", "servers": [{"name": "e1", "address": "127.0.0.1:9000", "failure-domain": "fd-a"}]}]
}`

const workspace = `{
  "caller-keys": ["KEY"],
  "limits": {"concurrency": 5},
  "services": [{"name": "drafts", "kind": "model", "model": "m", "class": "urgent"}]
}`

func doc(s string) []byte { return []byte(strings.ReplaceAll(s, "KEY", strings.Repeat("ab", 32))) }

func TestCheck(t *testing.T) {
	withRate := strings.Replace(system, `"failure-domain"`, `"tokens-per-second": 100, "failure-domain"`, 1)
	limited := strings.Replace(workspace, `"concurrency": 5`, `"concurrency": 5, "tokens-per-second": 60`, 1)
	for name, c := range map[string]struct {
		system     string
		workspaces []string
		want       []string
	}{
		"within limits":        {withRate, []string{limited}, nil},
		"rates are not stated": {system, []string{workspace, workspace}, nil},
		"rates add up":         {withRate, []string{limited, limited}, []string{"/system/models/0: workspaces may use 120 tokens a second, and its servers generate 100"}},
		"one has no limit":     {withRate, []string{limited, workspace}, []string{"/system/models/0: its servers generate 100 tokens a second, and these workspaces have no limit: w1"}},
		"reserves": {
			strings.Replace(system, `"reserve": 0.1}`, `"reserve": 0.6}, {"name": "b", "rank": 1, "reserve": 0.5}`, 1), nil,
			[]string{"/system/classes: the reserves add up to 1.10 of each engine's memory"},
		},
		"no such class or model": {
			system,
			[]string{strings.NewReplacer(`"class": "urgent"}`, `"class": "late"}`, `"model": "m"`, `"model": "n"`).Replace(workspace)},
			[]string{`/workspaces/w0/services/0/class: the system has no class "late"`, `/workspaces/w0/services/0/model: the system has no model "n"`},
		},
	} {
		t.Run(name, func(t *testing.T) {
			docs := []config.Document{{Path: config.SystemPath, Version: 1, Body: doc(c.system)}}
			for i, w := range c.workspaces {
				path := config.WorkspacePrefix + "w" + string(rune('0'+i))
				docs = append(docs, config.Document{Path: path, Version: uint64(i + 2), Body: doc(w)})
			}
			snap, err := config.New().With(docs...)
			assert.NilError(t, err)
			assert.DeepEqual(t, quota.Check(snap), c.want)
		})
	}
}
