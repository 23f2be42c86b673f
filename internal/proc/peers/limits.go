package peers

import (
	"go.uber.org/zap"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/reject"
)

// brittlenessChanged propagates that the servers of a service have become brittle, or are
// brittle no more.
func (n *Node) brittlenessChanged(l reject.Limit) {
	if l.Rejections > 0 {
		n.log.Info("servers are brittle", zap.String("service", string(l.Service)), zap.Int("rejections-per-second", l.Rejections))
	} else {
		n.log.Info("servers are brittle no more", zap.String("service", string(l.Service)))
	}
	n.reportNow()
	n.announce()
}

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
