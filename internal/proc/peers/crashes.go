package peers

import (
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/call"
	"umberladder/internal/peer/wire"
	"umberladder/internal/policy/poison"
)

// quarantinesChanged propagates changes of the evidence about requests that crash
// servers. Every VM reports changed findings to the hubs at once. Requests that were
// quarantined or released are also announced: a hub sends them to all VMs at once, and
// writes new quarantines to the store at once.
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
func (n *Node) mergeFindings(s *wire.Message, now time.Time) {
	c := n.Poison.Merge(s.Findings, now)
	for _, list := range [][]call.Fingerprint{c.Quarantined, c.Released} {
		for _, f := range list {
			n.log.Info("quarantine decision changed by another VM's findings", zap.Stringer("fingerprint", f), zap.String("reported-by", string(s.VM)))
		}
	}
}
