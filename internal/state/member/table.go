package member

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"umberladder/internal/core/ident"
)

// retransmitFactor sets how often a VM sends an update: this factor times the number
// of rounds in which an update reaches all VMs, the logarithm of their number.
const retransmitFactor = 3

// Table is the membership list of one VM. It is not safe for use by several
// goroutines. The VM itself is always alive in it, until Leave is called.
type Table struct {
	cfg             Config
	rng             *rand.Rand
	self            Member
	others          map[ident.VM]*entry
	pingOrder       []ident.VM // targets of pings, reshuffled each round
	nextIndex       int
	updates         []*queuedUpdate
	sequence        uint64
	probes          map[uint64]*probe
	lastTick        time.Time
	nextPing        time.Time
	pings           int
	settingsVersion SettingsVersion
	version         uint64
	removals        uint64 // how often this VM has declared another dead
}

type entry struct {
	Member
	stateSince time.Time // when the state last changed
	listed     bool      // on the platform's VM list
}

type queuedUpdate struct {
	Member
	sends int
}

// probe is a ping that has not been acked yet.
type probe struct {
	target     ident.VM
	sentAt     time.Time
	indirect   bool    // other VMs have been asked to ping the target
	requester  *Member // the VM that asked for the ping; nil if this VM pings for itself
	requestSeq uint64  // the sequence number of the requester's packet
}

// New returns the table of the VM self, whose incarnation is its start time in
// milliseconds.
func New(cfg Config, self Member, rng *rand.Rand) *Table {
	self.State = Alive
	return &Table{
		cfg:    cfg,
		rng:    rng,
		self:   self,
		others: map[ident.VM]*entry{},
		probes: map[uint64]*probe{},
	}
}

// Version returns a number that rises with each change of what All returns.
func (t *Table) Version() uint64 { return t.version }

// Self returns this VM.
func (t *Table) Self() Member { return t.self }

// SetSettingsVersion sets the version of the settings in force that packets report.
func (t *Table) SetSettingsVersion(v SettingsVersion) { t.settingsVersion = v }

// Removals returns how many times this VM itself has declared another dead.
func (t *Table) Removals() uint64 { return t.removals }

// Live returns the live VMs sorted by name, including suspects, and including
// this VM unless it is shutting down.
func (t *Table) Live() []Member {
	out := make([]Member, 0, len(t.others)+1)
	if t.self.State == Alive {
		out = append(out, t.self)
	}
	for _, e := range t.others {
		if e.State <= Suspect {
			out = append(out, e.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// All returns every known VM, sorted by name.
func (t *Table) All() []Member {
	out := []Member{t.self}
	for _, e := range t.others {
		out = append(out, e.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// MergeList merges the platform's VM list, which may be outdated. An unknown VM is
// added with incarnation 0, which is lower than any that it may report itself. A VM
// that is no longer on the list is forgotten once its state has been Dead or Left for
// four suspicion timeouts.
func (t *Table) MergeList(list []Member, now time.Time) {
	on := make(map[ident.VM]bool, len(list))
	for _, m := range list {
		on[m.Name] = true
		if m.Name == t.self.Name {
			continue
		}
		if t.others[m.Name] == nil {
			m.Incarnation, m.State = 0, Alive
			t.setMember(m, now)
		}
		t.others[m.Name].listed = true
	}
	for name, e := range t.others {
		e.listed = on[name]
		if !e.listed && e.State >= Left && now.Sub(e.stateSince) > t.cfg.SuspicionTimeout*4 {
			delete(t.others, name)
			t.version++
		}
	}
}

// Tick performs what is due at now and returns the packets to send.
func (t *Table) Tick(now time.Time) []Outbound {
	if !t.lastTick.IsZero() && now.Sub(t.lastTick) > 2*t.cfg.Period {
		// This VM itself was paused, so missing acks say nothing about the others.
		clear(t.probes)
		t.postponeSuspicions(now.Sub(t.lastTick))
	}
	t.lastTick = now
	out := t.checkProbes(now)
	t.expireSuspects(now)
	if now.Before(t.nextPing) {
		return out
	}
	t.nextPing = now.Add(t.cfg.Period)
	t.pings++
	if target := t.nextTarget(); target != nil {
		out = append(out, t.newPing(target, nil, 0, now))
	}
	if t.pings%t.cfg.DeadPingPeriods == 0 {
		if dead := t.deadTarget(); dead != nil {
			out = append(out, t.newPing(dead, nil, 0, now))
		}
	}
	return out
}

// postponeSuspicions extends all suspicions by the duration of a pause of this VM.
func (t *Table) postponeSuspicions(pause time.Duration) {
	for _, e := range t.others {
		if e.State == Suspect {
			e.stateSince = e.stateSince.Add(pause)
		}
	}
}

// checkProbes requests indirect pings for probes that were not acked in time, and
// later suspects their targets.
func (t *Table) checkProbes(now time.Time) []Outbound {
	var out []Outbound
	for seq, p := range t.probes {
		waited := now.Sub(p.sentAt)
		e := t.others[p.target]
		switch {
		case e == nil:
			delete(t.probes, seq)
		case !p.indirect && p.requester == nil && waited >= t.cfg.AckTimeout:
			p.indirect = true
			out = append(out, t.requestIndirect(e, seq)...)
		case waited >= t.cfg.Period+t.cfg.AckTimeout:
			delete(t.probes, seq)
			if p.requester == nil && e.State == Alive {
				e.State = Suspect
				t.recordChange(e, now)
			}
		}
	}
	return out
}

func (t *Table) requestIndirect(target *entry, seq uint64) []Outbound {
	var out []Outbound
	for _, name := range t.shuffled() {
		e := t.others[name]
		if len(out) == t.cfg.IndirectPings {
			break
		}
		if e.State != Alive || name == target.Name {
			continue
		}
		p := t.newPacket(PingReq, seq)
		p.Target = target.Name
		out = append(out, Outbound{To: e.Address, Packet: p})
	}
	return out
}

// expireSuspects declares dead the VMs whose suspicion was not refuted in time.
func (t *Table) expireSuspects(now time.Time) {
	for _, e := range t.others {
		if e.State == Suspect && now.Sub(e.stateSince) >= t.cfg.SuspicionTimeout {
			e.State = Dead
			t.removals++
			t.recordChange(e, now)
		}
	}
}

// nextTarget returns the next VM to ping: each once per round, in random order.
func (t *Table) nextTarget() *entry {
	for range 2 {
		for t.nextIndex < len(t.pingOrder) {
			e := t.others[t.pingOrder[t.nextIndex]]
			t.nextIndex++
			if e != nil && e.State <= Suspect {
				return e
			}
		}
		t.pingOrder, t.nextIndex = t.shuffled(), 0
	}
	return nil
}

// deadTarget returns a random dead VM that is on the platform's VM list.
func (t *Table) deadTarget() *entry {
	for _, name := range t.shuffled() {
		if e := t.others[name]; e.State == Dead && e.listed {
			return e
		}
	}
	return nil
}

func (t *Table) shuffled() []ident.VM {
	out := make([]ident.VM, 0, len(t.others))
	for name := range t.others {
		out = append(out, name)
	}
	// The order of a map is random. Sorting makes the result depend on the seed only.
	slices.Sort(out)
	t.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func (t *Table) newPing(e *entry, requester *Member, requestSeq uint64, now time.Time) Outbound {
	t.sequence++
	t.probes[t.sequence] = &probe{target: e.Name, sentAt: now, requester: requester, requestSeq: requestSeq}
	p := t.newPacket(Ping, t.sequence)
	if e.State != Alive {
		// Include the target's own state, so that the target can refute it.
		p.Updates = append(p.Updates, e.Member)
	}
	return Outbound{To: e.Address, Packet: p}
}

// newPacket returns a packet with the updates that were sent the fewest times.
func (t *Table) newPacket(k Kind, seq uint64) Packet {
	p := Packet{Kind: k, Sequence: seq, From: t.self, SettingsVersion: t.settingsVersion}
	slices.SortStableFunc(t.updates, func(a, b *queuedUpdate) int { return cmp.Compare(a.sends, b.sends) })
	limit := retransmitFactor * (bits.Len(uint(len(t.others)+1)) + 1)
	for _, u := range t.updates[:min(len(t.updates), t.cfg.MaxUpdates)] {
		p.Updates = append(p.Updates, u.Member)
		u.sends++
	}
	t.updates = slices.DeleteFunc(t.updates, func(u *queuedUpdate) bool { return u.sends >= limit })
	return p
}

// recordChange records a new state of e and queues it for the other VMs.
func (t *Table) recordChange(e *entry, now time.Time) {
	e.stateSince = now
	t.version++
	t.enqueueUpdate(e.Member)
}

func (t *Table) enqueueUpdate(m Member) {
	t.updates = slices.DeleteFunc(t.updates, func(u *queuedUpdate) bool { return u.Name == m.Name })
	t.updates = append(t.updates, &queuedUpdate{Member: m})
}

func (t *Table) setMember(m Member, now time.Time) *entry {
	e := t.others[m.Name]
	if e == nil {
		e = &entry{}
		t.others[m.Name] = e
	}
	e.Member, e.stateSince = m, now
	t.version++
	return e
}
