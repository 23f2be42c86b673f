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
	"umberladder/internal/state/hubs"
)

const (
	// settingsAge is the age of the settings up to which a VM waits to be told. It
	// leaves time to read them before keys can't be served.
	settingsAge = 2500 * time.Millisecond
	// deciders is how many VMs are told at once what changes in the loads: the one
	// that decides, and the one that takes its place.
	deciders = 2
	// storeQuiet is how long the store must have answered no VM for engines to be
	// asked themselves whether they leave. Servers' heartbeats end each wait within
	// 0.2 s, and hubs hear of it twice in each beat.
	storeQuiet = 700 * time.Millisecond
	// newerPause is the least pause after newer settings could not be read.
	newerPause = 500 * time.Millisecond
	// askTime is how long hubs may take to answer how old the settings are, and
	// askLook how often it is looked whether they have.
	askTime = 60 * time.Millisecond
	askLook = 4 * time.Millisecond
	// confirmAge is the age of settings that an answer of the hubs brings at most.
	confirmAge = time.Second
)

// local is what the VM tells the others. It implements gossip.Local.
type local struct {
	vm *VM
	// ctx ends with the VM.
	ctx context.Context
}

// settingsTold reports whether other VMs tell what changes in the settings. A VM
// whose settings grow old though the store answers it reads them itself.
func (v *VM) settingsTold() bool {
	now := time.Now()
	if v.hubs.Asks(now) {
		return false
	}
	return v.settings.Load() == nil || v.settings.Age() < settingsAge || !v.hubs.Answers(now)
}

// first reports whether this VM is to find out soon that the store is back.
func (v *VM) first() bool { return v.hubs.First(time.Now()) }

// lead reports whether no other VM asks the store before this one.
func (v *VM) lead() bool { return v.hubs.Lead(time.Now()) }

// serversTold reports whether other VMs tell what changes among the servers.
func (v *VM) serversTold() bool { return !v.hubs.Asks(time.Now()) }

// word returns what this VM says of its way to the store.
func (v *VM) word(now time.Time) hubs.Word {
	return hubs.Word{Asks: v.hubs.Asks(now), Age: v.discover.Age()}
}

// Report implements gossip.Local.
func (l *local) Report(s *wire.State, now time.Time) {
	v := l.vm
	s.Loads = v.seats.Own()
	s.Sent = v.budget.Sent(now)
	l.tell(s, now)
	if s.Word.Asks {
		l.news(s, now)
	}
}

// Answer implements gossip.Local.
func (l *local) Answer(s *wire.State, to ident.VM, now time.Time) {
	t := l.vm.budget.Rest(to, now)
	s.Hub.Known, s.Hub.Heard, s.Hub.Rest = t.Known, t.Heard, t.Sent
	l.tell(s, now)
	l.news(s, now)
}

// tell fills in what this VM tells of itself to hubs and as a hub.
func (l *local) tell(s *wire.State, now time.Time) {
	v := l.vm
	s.Capacity = v.hubs.Own().Capacity
	s.Leaving = v.servers.Leaving(now)
	s.Version = v.version()
	s.Word = v.word(now)
}

func (l *local) news(s *wire.State, now time.Time) {
	if n, ok := l.vm.discover.News(now); ok {
		s.News = &n
	}
}

// reportOf returns what a message says of its VM.
func reportOf(s *wire.State, from netip.AddrPort) hubs.Report {
	return hubs.Report{Candidate: hubs.Candidate{VM: s.VM, Addr: from, Capacity: s.Capacity}, Word: s.Word}
}

// Hear implements gossip.Local.
func (l *local) Hear(s *wire.State, from netip.AddrPort, now time.Time) {
	v := l.vm
	v.hubs.Reported(reportOf(s, from), now)
	v.budget.Hear(s.VM, s.Sent, now)
	if s.HasLoads() {
		v.seats.Hear(s.VM, s.Boot, s.Seq, s.Part, s.Loads, now)
	}
	l.take(s, from, true, now)
}

// Learn implements gossip.Local.
func (l *local) Learn(s *wire.State, from netip.AddrPort, now time.Time) {
	v := l.vm
	if v.hubs.Answered(reportOf(s, from), s.Hub.Names, s.Hub.Digest, now) {
		v.beat()
	}
	v.budget.Learn(s.VM, retry.Total{At: now, Known: s.Hub.Known, Heard: s.Hub.Heard, Sent: s.Hub.Rest})
	l.take(s, from, false, now)
	if s.Reply != nil {
		l.confirm(*s.Reply, from)
	}
}

// take takes what another VM knows of servers and settings. What a VM reports is
// passed on to those that report to this one.
func (l *local) take(s *wire.State, from netip.AddrPort, pass bool, now time.Time) {
	v := l.vm
	if s.News != nil {
		v.discover.Learn(*s.News, now)
	}
	for _, id := range v.servers.Hear(s.Leaving, pass) {
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

// takeServers takes all servers from a hub.
func (v *VM) takeServers(ctx context.Context) (follow.News, error) {
	list := v.hubs.Teachers(time.Now())
	if len(list) == 0 {
		return follow.News{}, follow.ErrNobody
	}
	return share.Take(ctx, list, v.share.Servers)
}

// Refresh implements port.Refresher: it has the hubs confirm that the settings are
// the newest, and reads them in the store if they don't at once.
func (v *VM) Refresh(ctx context.Context, limit time.Duration) error {
	if v.settings.Load() != nil && !v.hubs.Asks(time.Now()) && v.confirmed(ctx) {
		return nil
	}
	return v.follow.Refresh(ctx, limit)
}

// beat has the VM report to the hubs at once.
func (v *VM) beat() {
	if g := v.gossip.Load(); g != nil {
		g.Beat()
	}
}

// confirmed reports whether the hubs confirm the settings.
func (v *VM) confirmed(ctx context.Context) bool {
	v.beat()
	for end := time.Now().Add(askTime); ctx.Err() == nil && time.Now().Before(end); {
		if v.settings.Age() < confirmAge {
			return true
		}
		retry.Pause(ctx, askLook)
	}
	return false
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

// Clock implements gossip.Local.
func (l *local) Clock() uint64 { return uint64(awake.Now()) }

// Reply implements gossip.Local.
func (l *local) Reply(ask uint64) *wire.Reply {
	fresh := l.vm.settings.Fresh()
	r := &wire.Reply{Ask: ask}
	if snap := l.vm.settings.Load(); snap != nil {
		r.Version, r.Age = snap.Version, awake.Now().Sub(fresh)
	}
	return r
}

// confirm takes the answer to what this VM asked. The other VM's settings were the
// newest Age before it answered, and it answered after it was asked.
func (l *local) confirm(r wire.Reply, from netip.AddrPort) {
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
		for _, p := range l.vm.hubs.Order(s, deciders, now) {
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
func (v *VM) order(s ident.Service, now time.Time) []hubs.Rank {
	return v.hubs.Order(s, hubs.Count, now)
}

// probed returns the services whose engines this VM has to ask whether they
// leave: those for which it decides, while no VM hears the store.
func (v *VM) probed(now time.Time) []ident.Service {
	snap := v.settings.Load()
	if snap == nil || min(v.discover.Age(), v.hubs.Quiet(now)) < storeQuiet {
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

// tell notes that there is something new to tell all others. VMs that are no hubs,
// and are told themselves, tell it with their next report.
func (v *VM) tell() {
	if now := time.Now(); !v.hubs.Asks(now) && !v.hubs.Hub(now) {
		return
	}
	select {
	case v.news <- struct{}{}:
	default:
	}
}
