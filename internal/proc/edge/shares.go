package edge

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"umberladder/internal/route/coord"
)

// shareObserver implements coord.Observer: it counts what this VM grants and refuses as the
// coordinator of a service, and logs which workspaces are limited to their shares.
type shareObserver struct {
	log       *zap.Logger
	metricSet *metrics.Set
}

// maxRankLabel is the rank from which on all ranks have one label.
const maxRankLabel = 2

// shareLabels returns the labels of a run's rank and of whether its workspace was over its share.
func shareLabels(rank int, overShare bool) string {
	label := fmt.Sprint(max(rank, 0))
	if rank >= maxRankLabel {
		label = fmt.Sprint(maxRankLabel, "+")
	}
	return fmt.Sprintf(`{rank="%s",over_share="%t"}`, label, overShare)
}

func (o shareObserver) RecordGrant(rank int, overShare bool, tokens int) {
	o.metricSet.GetOrCreateCounter(metricGrantedTokens + shareLabels(rank, overShare)).Add(tokens)
}

func (o shareObserver) RecordRefusal(rank int, overShare bool) {
	o.metricSet.GetOrCreateCounter(metricRefusedRuns + shareLabels(rank, overShare)).Inc()
}

func (o shareObserver) RecordRetry(served bool) {
	outcome := "refused"
	if served {
		outcome = "served"
	}
	o.metricSet.GetOrCreateCounter(fmt.Sprintf("%s{outcome=%q}", metricRetriedRuns, outcome)).Inc()
}

func (o shareObserver) LimitChanged(l coord.Limit) {
	msg := "workspace no longer limited to its share"
	if l.Limited {
		msg = "workspace limited to its share"
	}
	o.log.Info(msg, zap.String("service", string(l.Service)), zap.String("workspace", string(l.Workspace)),
		zap.Float64("granted-share", l.Share), zap.Float64("due-share", l.Entitled), zap.Int("waiting", l.Waiting))
}
