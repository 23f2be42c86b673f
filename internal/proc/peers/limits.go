package peers

import (
	"go.uber.org/zap"

	"umberladder/internal/core/ident"
)

// limitChanged propagates a new or ended rate limit without waiting for the next periodic
// message: a hub announces it to all VMs, and other VMs report it to the hubs.
func (n *Node) limitChanged(id ident.Server, rate float64) {
	if rate > 0 {
		n.log.Info("server rate limit in force", zap.String("server", string(id)), zap.Float64("requests-per-second", rate))
	} else {
		n.log.Info("server rate limit ended", zap.String("server", string(id)))
	}
	n.reportNow()
	n.announce()
}
