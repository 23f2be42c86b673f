package peers

import (
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/ident"
	"umberladder/internal/peer/wire"
	"umberladder/internal/policy/poison"
)

// quarantinesChanged propagates changes of the findings about what makes servers crash. Every
// VM reports changed findings to the hubs immediately. If a quarantine started or ended, a hub
// also announces it to all VMs immediately, and writes new quarantines to the store
// immediately.
func (n *Node) quarantinesChanged(c poison.Change) {
	for _, v := range c.Quarantined {
		n.log.Warn(describeSuspect(v)+" quarantined", zap.Stringer("fingerprint", v.ID), zap.Any("crashed", v.Servers))
	}
	for _, v := range c.Released {
		n.log.Info(describeSuspect(v)+" released", zap.Stringer("fingerprint", v.ID))
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

// describeSuspect returns the kind of a suspect. Suspects read from the store do not state it
// and are described as requests.
func describeSuspect(v poison.Verdict) string {
	if v.Depth > 0 && v.Depth < poison.WholeRequest {
		return "prompt part"
	}
	return "request"
}

// mergeFindings merges another VM's findings about what makes servers crash.
func (n *Node) mergeFindings(m *wire.Message, now time.Time) {
	c := n.Poison.Merge(m.Findings, now)
	for _, list := range [][]poison.Verdict{c.Quarantined, c.Released} {
		for _, v := range list {
			n.log.Info("quarantine decision changed by another VM's findings", zap.Stringer("fingerprint", v.ID), zap.String("reported-by", string(m.VM)))
		}
	}
}

// confirmCrashes turns responses that broke off at servers whose end could not be confirmed
// into evidence, once the servers' entries are gone. Servers that drained are known to be
// retired before that.
func (n *Node) confirmCrashes(now time.Time) {
	view := n.Servers.View()
	n.Poison.ConfirmEnded(func(id ident.Server) bool { return view.Server(id) == nil }, now)
}
