package bounds

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"umberladder/internal/policy/hold"
)

// Names of the metrics.
const (
	MetricHeld            = "umberladder_client_memory_bytes"
	MetricHeldLimit       = "umberladder_client_memory_limit_bytes"
	MetricDescriptors     = "umberladder_descriptors"
	MetricDescriptorLimit = "umberladder_descriptors_limit"
	MetricReclaimed       = "umberladder_client_connections_reclaimed_total"
	MetricRefusals        = "umberladder_client_memory_refusals_total"
)

// Register exports what is held for clients.
func (b *Bounds) Register(set *metrics.Set) {
	for c, name := range map[hold.Class]string{hold.Connections: "connections", hold.Requests: "requests", hold.Responses: "responses"} {
		set.NewGauge(fmt.Sprintf("%s{for=%q}", MetricHeld, name), func() float64 { return float64(b.Held.Held(c)) })
	}
	set.NewGauge(MetricHeldLimit, func() float64 { return float64(b.Held.Size()) })
	set.NewGauge(MetricDescriptors, func() float64 {
		used, _ := b.Held.Descriptors()
		return float64(used)
	})
	set.NewGauge(MetricDescriptorLimit, func() float64 { return float64(b.descriptors.get()) })
	set.NewGauge(MetricReclaimed, func() float64 { return float64(b.Held.Stats().Reclaimed) })
	for name, count := range map[string]func(hold.Stats) uint64{
		"connections": func(s hold.Stats) uint64 { return s.RefusedConnections },
		"requests":    func(s hold.Stats) uint64 { return s.RefusedRequests },
		"responses":   func(s hold.Stats) uint64 { return s.RefusedResponses },
	} {
		set.NewGauge(fmt.Sprintf("%s{of=%q}", MetricRefusals, name), func() float64 { return float64(count(b.Held.Stats())) })
	}
}
