package edge

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/ident"
	"umberladder/internal/peer/gossip"
	"umberladder/internal/policy/retry"
	"umberladder/internal/route/seats"
)

// local is what the VM tells the others. It implements gossip.Local.
type local struct{ vm *VM }

// Loads implements gossip.Local.
func (l *local) Loads() map[ident.Server]seats.Load { return l.vm.seats.Own() }

// Sent implements gossip.Local.
func (l *local) Sent(now time.Time) map[ident.Service]retry.Sent { return l.vm.budget.Sent(now) }

// Leaving implements gossip.Local.
func (l *local) Leaving(now time.Time) []ident.Server { return l.vm.servers.Leaving(now) }

// Dirty implements gossip.Local.
func (l *local) Dirty() <-chan struct{} { return l.vm.seats.Dirty() }

// Others implements gossip.Local.
func (l *local) Others() []netip.AddrPort { return l.vm.peers.Others() }

// Hear implements gossip.Local.
func (l *local) Hear(s *gossip.State, now time.Time) {
	l.vm.budget.Hear(s.VM, s.Sent, now)
	l.vm.seats.Hear(s.VM, s.Boot, s.Seq, s.Loads, now)
	for _, id := range l.vm.servers.Hear(s.Leaving) {
		l.vm.log.Info("server leaves", zap.String("server", string(id)), zap.String("told-by", string(s.VM)))
	}
}
