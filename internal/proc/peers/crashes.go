package peers

import (
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/call"
	"umberladder/internal/peer/wire"
	"umberladder/internal/policy/poison"
)

// quarantinesChanged propagates changes of the findings about requests that crash
// servers. Every VM reports changed findings to the hubs immediately. If requests were
// quarantined or released, a hub also announces them to all VMs immediately, and writes
// new quarantines to the store immediately.
func (n *Node) quarantinesChanged(c poison.Change) {
	for _, f := range c.Quarantined {
		n.log.Warn("request quarantined", zap.Stringer("fingerprint", f))
	}
	for _, f := range c.Released {
		n.log.Info("request released", zap.Stringer("fingerprint", f))
	}
	n.reportNow()
	if c.Empty() {
		return
	}
	n.announce()
	if len(c.Quarantined) > 0 {
		n.registrar.Wake()
	}
}

// mergeFindings merges another VM's findings about requests that crash servers.
func (n *Node) mergeFindings(m *wire.Message, now time.Time) {
	c := n.Poison.Merge(m.Findings, now)
	for _, list := range [][]call.Fingerprint{c.Quarantined, c.Released} {
		for _, f := range list {
			n.log.Info("quarantine decision changed by another VM's findings", zap.Stringer("fingerprint", f), zap.String("reported-by", string(m.VM)))
		}
	}
}
