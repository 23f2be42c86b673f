package edge

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"umberladder/internal/policy/retry"
	"umberladder/internal/proc/conf"
	"umberladder/internal/proc/peers"
)

const settingsFile = `{"name":"edge-1","failure-domain":"a","callers-address":"10.0.0.1:80","ready-address":"10.0.0.1:81",
"metrics-address":"10.0.0.1:82","peers-address":"10.0.0.1:83","store-address":"10.0.0.2:80","revoke-bound":"5s"}`

type noReporters struct{}

func (noReporters) ReporterCounts(time.Time) (int, int) { return 0, 0 }

func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "edge.json")
	cfg, err := conf.ParseEdge([]byte(settingsFile))
	assert.NilError(t, err)
	v := &VM{log: zap.NewNop(), node: &peers.Node{Budget: retry.NewFleetBudget(0, 0, time.Second, noReporters{})}}
	v.cfg.Store(cfg)
	for _, tc := range []struct {
		old, new string
		revoke   time.Duration
	}{
		{`"5s"`, `"7s"`, 7 * time.Second},
		{`"5s"`, `"soon"`, 7 * time.Second},
		{`10.0.0.1:80"`, `10.9.9.9:80"`, 5 * time.Second},
	} {
		assert.NilError(t, os.WriteFile(path, []byte(strings.Replace(settingsFile, tc.old, tc.new, 1)), 0o600))
		v.reload(path, "test")
		assert.Equal(t, v.cfg.Load().RevokeBound, tc.revoke)
		assert.Equal(t, v.cfg.Load().Clients, cfg.Clients, "a changed address needs a restart")
	}
}
