package peers

import (
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/call"
	"umberladder/internal/peer/wire"
	"umberladder/internal/policy/poison"
)

// verdictsChanged has other VMs learn what this one has found of requests that crash
// servers. A hub announces verdicts to all at once, other VMs report to the hubs.
func (n *Node) verdictsChanged(c poison.Change) {
	for _, f := range c.Quarantined {
		n.log.Warn("request quarantined", zap.Stringer("fingerprint", f))
	}
	for _, f := range c.Released {
		n.log.Info("request released", zap.Stringer("fingerprint", f))
	}
	n.beat()
	if c.Empty() {
		return
	}
	n.tell()
	if len(c.Quarantined) > 0 {
		n.names.Wake()
	}
}

// mergeFindings merges what another VM knows of requests that crash servers.
func (n *Node) mergeFindings(s *wire.State, now time.Time) {
	c := n.Poison.Merge(s.Findings, now)
	for _, list := range [][]call.Fingerprint{c.Quarantined, c.Released} {
		for _, f := range list {
			n.log.Info("verdict by another VM's findings", zap.Stringer("fingerprint", f), zap.String("reported-by", string(s.VM)))
		}
	}
}
