package edge

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/awake"
	"umberladder/internal/core/ident"
	"umberladder/internal/peer/share"
	"umberladder/internal/peer/wire"
	"umberladder/internal/policy/retry"
	"umberladder/internal/route/homes"
	"umberladder/internal/state/follow"
	"umberladder/internal/state/peers"
)

const (
	// settingsAge is the age of the settings up to which a VM waits to be told. It
	// leaves time to read them before keys can't be served.
	settingsAge = 2500 * time.Millisecond
	// newsAge is how long ago news of servers must have come for a VM to wait for
	// more.
	newsAge = 900 * time.Millisecond
	// deciders is how many VMs are told at once what changes in the loads: the one
	// that decides, and the one that takes its place.
	deciders = 2
	// storeQuiet is how long the store must have answered no VM for engines to be
	// asked themselves whether they leave. Servers' heartbeats end each wait within
	// 0.2 s, and VMs tell each other of it with each change of their loads. In two
	// days with outages, four plays each, 78 streams were lost with engines instead
	// of 175; at 450 ms it took two questions for one.
	storeQuiet = 700 * time.Millisecond
	// newerPause is the least pause after newer settings could not be read.
	newerPause = 500 * time.Millisecond
)

// local is what the VM tells the others. It implements gossip.Local.
type local struct {
	vm *VM
	// ctx ends with the VM.
	ctx context.Context
}

// settingsTold reports whether other VMs tell what changes in the settings.
func (v *VM) settingsTold() bool {
	now := time.Now()
	return v.settings.Age() < settingsAge && v.watch.Told(now, !v.discover.Down())
}

// first reports whether this VM is to find out soon that the store is back.
func (v *VM) first() bool { return v.watch.First(time.Now()) }

// serversTold reports whether other VMs tell what changes among the servers.
func (v *VM) serversTold() bool {
	now := time.Now()
	return now.Sub(v.discover.Heard()) < newsAge && v.watch.Told(now, !v.discover.Down())
}

// Tell implements gossip.Local.
func (l *local) Tell(s *wire.State, now time.Time) {
	v := l.vm
	s.Loads = v.seats.Own()
	s.Sent = v.budget.Sent(now)
	s.Leaving = v.servers.Leaving(now)
	s.Version = v.version()
	if v.serversTold() {
		return
	}
	s.Asks = true
	s.Age = v.discover.Answered(now)
	if n, ok := v.discover.News(now); ok {
		s.News = &n
	}
}

// Hear implements gossip.Local.
func (l *local) Hear(s *wire.State, from netip.AddrPort, now time.Time) {
	v := l.vm
	age := s.Age
	if !s.Asks {
		age = -1
	}
	v.peers.Meet(from)
	v.watch.Hear(s.VM, from, age, now)
	v.budget.Hear(s.VM, s.Sent, now)
	v.seats.Hear(s.VM, s.Boot, s.Seq, s.Loads, now)
	if s.News != nil {
		v.discover.Learn(*s.News, now)
	}
	for _, id := range v.servers.Hear(s.Leaving) {
		v.log.Info("server leaves", zap.String("server", string(id)), zap.String("told-by", string(s.VM)))
	}
	if s.Version > v.version() {
		l.newer(s.Version, from)
	}
}

// newer takes settings that another VM has already, from it or else from the
// store.
func (l *local) newer(version uint64, from netip.AddrPort) {
	l.vm.settings.Hear(version, awake.Now())
	if !l.vm.reading.CompareAndSwap(false, true) {
		return
	}
	l.vm.group.Go(func() error {
		defer l.vm.reading.Store(false)
		if err := l.vm.takeSettings(l.ctx, version, from); err != nil {
			l.vm.log.Info("settings not taken from another VM", zap.Uint64("version", version), zap.Stringer("from", from),
				zap.Duration("behind", l.vm.settings.Behind()), zap.Error(err))
			l.vm.follow.Learn(l.ctx, version, 0)
		}
		if l.vm.version() < version {
			// Each message of each VM would ask a store that does not answer.
			retry.Pause(l.ctx, newerPause+rand.N(newerPause))
		}
		return nil
	})
}

// takeSettings takes a version of the settings, or a later one, from another VM, or
// from one that it names. They were the newest their age before it answered, and it
// answered after it was asked.
func (v *VM) takeSettings(ctx context.Context, version uint64, from netip.AddrPort) error {
	_, err := share.Take(ctx, []netip.AddrPort{from}, func(ctx context.Context, from netip.AddrPort) (uint64, error) {
		asked := awake.Now()
		s, err := v.share.Settings(ctx, from, version)
		if err != nil {
			return 0, err
		}
		return s.Version, v.follow.Adopt(s.Packed, asked.Add(-s.Age))
	})
	return err
}

// takeServers takes all servers from a VM that the store answers.
func (v *VM) takeServers(ctx context.Context) (follow.News, error) {
	list := v.watch.Asking(time.Now())
	if len(list) == 0 {
		return follow.News{}, follow.ErrNobody
	}
	return share.Take(ctx, list, v.share.Servers)
}

// Settings implements share.Source.
func (v *VM) Settings() (share.Settings, bool) {
	fresh, snap := v.settings.Fresh(), v.settings.Load()
	if snap == nil {
		return share.Settings{}, false
	}
	packed, err := snap.Source.Packed()
	if err != nil {
		v.log.Error("settings not packed", zap.Uint64("version", snap.Version), zap.Error(err))
		return share.Settings{}, false
	}
	return share.Settings{Packed: packed, Version: snap.Version, Age: awake.Now().Sub(fresh)}, true
}

// Servers implements share.Source.
func (v *VM) Servers() (follow.News, bool) { return v.discover.All() }

// Ask implements gossip.Local.
func (l *local) Ask(now time.Time) (netip.AddrPort, uint64) {
	list := l.vm.watch.Asking(now)
	if len(list) == 0 || !l.vm.watch.Told(now, !l.vm.discover.Down()) {
		return netip.AddrPort{}, 0
	}
	return list[rand.IntN(len(list))], uint64(awake.Now())
}

// Answer implements gossip.Local.
func (l *local) Answer(ask uint64) wire.Reply {
	fresh := l.vm.settings.Fresh()
	r := wire.Reply{Ask: ask}
	if snap := l.vm.settings.Load(); snap != nil {
		r.Version, r.Age = snap.Version, awake.Now().Sub(fresh)
	}
	return r
}

// Learn implements gossip.Local. The other VM's settings were the newest Age
// before it answered, and it answered after it was asked.
func (l *local) Learn(r wire.Reply, from netip.AddrPort) {
	if r.Version == 0 || awake.Instant(r.Ask) > awake.Now() {
		return
	}
	if r.Version > l.vm.version() {
		l.newer(r.Version, from)
		return
	}
	l.vm.follow.Learn(l.ctx, r.Version, awake.Instant(r.Ask).Add(-r.Age))
}

// Dirty implements gossip.Local.
func (l *local) Dirty() <-chan struct{} { return l.vm.news }

// Moved implements gossip.Local.
func (l *local) Moved() <-chan struct{} { return l.vm.seats.Dirty() }

// Homes implements gossip.Local.
func (l *local) Homes() []netip.AddrPort {
	out := []netip.AddrPort{}
	snap := l.vm.settings.Load()
	if snap == nil {
		return out
	}
	now := time.Now()
	for _, s := range snap.Engines() {
		for _, p := range l.vm.watch.Order(s, deciders, now) {
			if p.Addr.IsValid() && !slices.Contains(out, p.Addr) {
				out = append(out, p.Addr)
			}
		}
	}
	return out
}

// Seat implements gossip.Local.
func (l *local) Seat(a homes.Ask, reply func(homes.Answer)) { l.vm.home.Take(a, reply, time.Now()) }

// Seated implements gossip.Local.
func (l *local) Seated(a homes.Answer) { l.vm.desk.Answered(a) }

// Ask implements desk.Post. What is asked before the VM speaks to others is lost.
func (v *VM) Ask(to netip.AddrPort, a homes.Ask) {
	if g := v.gossip.Load(); g != nil {
		g.Ask(to, a)
	}
}

// order returns the VMs that decide for a service.
func (v *VM) order(s ident.Service, now time.Time) []peers.Rank {
	return v.watch.Order(s, deciders, now)
}

// probed returns the services whose engines this VM has to ask whether they
// leave: those for which it decides, while no VM hears the store.
func (v *VM) probed(now time.Time) []ident.Service {
	snap := v.settings.Load()
	if snap == nil || min(v.discover.Answered(now), v.watch.Quiet(now)) < storeQuiet {
		return nil
	}
	var out []ident.Service
	for _, s := range snap.Engines() {
		if order := v.order(s, now); len(order) > 0 && !order[0].Addr.IsValid() {
			out = append(out, s)
		}
	}
	return out
}

// tell notes that there is something new to tell all others. Those who are told
// themselves do not tell it further: at 62 VMs that took 3,800 messages for each
// engine that left.
func (v *VM) tell() {
	if v.serversTold() {
		return
	}
	select {
	case v.news <- struct{}{}:
	default:
	}
}

// Others implements gossip.Local.
func (l *local) Others() []netip.AddrPort { return l.vm.peers.Others() }
