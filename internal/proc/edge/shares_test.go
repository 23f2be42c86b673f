package edge

import (
	"bytes"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"umberladder/internal/route/coord"
)

// TestShareObserver guards against labels without a bound, and against log lines that don't say
// which workspace is limited, or to what.
func TestShareObserver(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	set := metrics.NewSet()
	o := shareObserver{log: zap.New(core), metricSet: set}
	for rank := -1; rank < 1000; rank++ {
		o.RecordGrant(rank, rank%2 == 0, 10)
		o.RecordRefusal(rank, true)
		o.RecordRetry(rank%3 == 0)
	}
	var b bytes.Buffer
	set.WritePrometheus(&b)
	assert.Equal(t, b.String(), `umberladder_granted_tokens_total{rank="0",over_share="false"} 10
umberladder_granted_tokens_total{rank="0",over_share="true"} 10
umberladder_granted_tokens_total{rank="1",over_share="false"} 10
umberladder_granted_tokens_total{rank="2+",over_share="false"} 4990
umberladder_granted_tokens_total{rank="2+",over_share="true"} 4990
umberladder_runs_refused_total{rank="0",over_share="true"} 2
umberladder_runs_refused_total{rank="1",over_share="true"} 1
umberladder_runs_refused_total{rank="2+",over_share="true"} 998
umberladder_runs_retried_total{outcome="refused"} 667
umberladder_runs_retried_total{outcome="served"} 334
`)
	o.LimitChanged(coord.Limit{Service: "s", Workspace: "w", Limited: true, Share: 0.8, Entitled: 0.5, Waiting: 7})
	o.LimitChanged(coord.Limit{Service: "s", Workspace: "w"})
	all := lines.All()
	assert.Equal(t, all[0].Message, "workspace limited to its share")
	assert.DeepEqual(t, all[0].ContextMap(), map[string]any{"service": "s", "workspace": "w", "granted-share": 0.8, "due-share": 0.5, "waiting": int64(7)})
	assert.Equal(t, all[1].Message, "workspace no longer limited to its share")
}
