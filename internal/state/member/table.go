package member

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"umberladder/internal/core/ident"
)

// spreadFactor is how often an update is sent: this many times the number of
// rounds that reach everyone.
const spreadFactor = 3

// Table is what one VM knows of all. It is not safe for use by several
// goroutines. The VM itself is always alive in it, until Leave.
type Table struct {
	cfg      Config
	rng      *rand.Rand
	self     Member
	others   map[ident.VM]*entry
	order    []ident.VM // ping order, reshuffled each round
	next     int
	news     []*update
	sequence uint64
	pending  map[uint64]*probe
	lastTick time.Time
	nextPing time.Time
	pings    int
	mark     Mark
	version  uint64
	removed  uint64 // VMs taken for dead so far
}

type entry struct {
	Member
	since  time.Time // of the state
	listed bool      // on the platform's list
}

type update struct {
	Member
	sent int
}

// probe is a ping without an answer yet.
type probe struct {
	target ident.VM
	sent   time.Time
	helped bool
	asker  *Member // the VM on whose behalf, if any
	asked  uint64  // the asker's sequence
}

// New makes the table of the VM self. The incarnation is the start time in
// milliseconds.
func New(cfg Config, self Member, rng *rand.Rand) *Table {
	self.State = Alive
	return &Table{
		cfg:     cfg,
		rng:     rng,
		self:    self,
		others:  map[ident.VM]*entry{},
		pending: map[uint64]*probe{},
	}
}

// Version rises with each change of what All returns.
func (t *Table) Version() uint64 { return t.version }

// Self returns this VM.
func (t *Table) Self() Member { return t.self }

// SetMark sets which settings others are told to be in force.
func (t *Table) SetMark(m Mark) { t.mark = m }

// Removals returns how many times this VM itself took another for dead.
func (t *Table) Removals() uint64 { return t.removed }

// Live returns the VMs taken to be alive, this one included unless it leaves,
// by name. Suspects are still among them.
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

// All returns every VM known, by name.
func (t *Table) All() []Member {
	out := []Member{t.self}
	for _, e := range t.others {
		out = append(out, e.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// List takes the platform's list, which lags: a VM not known yet is added
// with incarnation 0, below any it may claim itself. One that is gone from
// the list is forgotten once it is dead or left.
func (t *Table) List(list []Member, now time.Time) {
	on := make(map[ident.VM]bool, len(list))
	for _, m := range list {
		on[m.Name] = true
		if m.Name == t.self.Name {
			continue
		}
		if t.others[m.Name] == nil {
			m.Incarnation, m.State = 0, Alive
			t.set(m, now)
		}
		t.others[m.Name].listed = true
	}
	for name, e := range t.others {
		e.listed = on[name]
		if !e.listed && e.State >= Left && now.Sub(e.since) > t.cfg.Suspect*4 {
			delete(t.others, name)
			t.version++
		}
	}
}

// Tick does what is due at now and returns the packets to send.
func (t *Table) Tick(now time.Time) []Out {
	if !t.lastTick.IsZero() && now.Sub(t.lastTick) > 2*t.cfg.Period {
		// This VM itself was paused: its unanswered pings say nothing.
		clear(t.pending)
		t.postpone(now.Sub(t.lastTick))
	}
	t.lastTick = now
	out := t.unanswered(now)
	t.expire(now)
	if now.Before(t.nextPing) {
		return out
	}
	t.nextPing = now.Add(t.cfg.Period)
	t.pings++
	if target := t.pick(); target != nil {
		out = append(out, t.ping(target, nil, 0, now))
	}
	if t.pings%t.cfg.Probe == 0 {
		if gone := t.pickGone(); gone != nil {
			out = append(out, t.ping(gone, nil, 0, now))
		}
	}
	return out
}

// postpone moves the suspicions by a pause of this VM.
func (t *Table) postpone(pause time.Duration) {
	for _, e := range t.others {
		if e.State == Suspect {
			e.since = e.since.Add(pause)
		}
	}
}

// unanswered asks helpers for pings without an answer, and then suspects.
func (t *Table) unanswered(now time.Time) []Out {
	var out []Out
	for seq, p := range t.pending {
		waited := now.Sub(p.sent)
		e := t.others[p.target]
		switch {
		case e == nil:
			delete(t.pending, seq)
		case !p.helped && p.asker == nil && waited >= t.cfg.Ack:
			p.helped = true
			out = append(out, t.askHelpers(e, seq)...)
		case waited >= t.cfg.Period+t.cfg.Ack:
			delete(t.pending, seq)
			if p.asker == nil && e.State == Alive {
				e.State = Suspect
				t.changed(e, now)
			}
		}
	}
	return out
}

func (t *Table) askHelpers(target *entry, seq uint64) []Out {
	var out []Out
	for _, name := range t.shuffled() {
		e := t.others[name]
		if len(out) == t.cfg.Helpers {
			break
		}
		if e.State != Alive || name == target.Name {
			continue
		}
		p := t.packet(Indirect, seq)
		p.Target = target.Name
		out = append(out, Out{To: e.Address, Packet: p})
	}
	return out
}

// expire removes VMs whose suspicion stood.
func (t *Table) expire(now time.Time) {
	for _, e := range t.others {
		if e.State == Suspect && now.Sub(e.since) >= t.cfg.Suspect {
			e.State = Dead
			t.removed++
			t.changed(e, now)
		}
	}
}

// pick returns the next VM to ping: each once a round, in random order.
func (t *Table) pick() *entry {
	for range 2 {
		for t.next < len(t.order) {
			e := t.others[t.order[t.next]]
			t.next++
			if e != nil && e.State <= Suspect {
				return e
			}
		}
		t.order, t.next = t.shuffled(), 0
	}
	return nil
}

// pickGone returns a VM that is on the platform's list and taken for dead.
func (t *Table) pickGone() *entry {
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
	// The map's own order is random; sort first, so that a seed decides.
	slices.Sort(out)
	t.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func (t *Table) ping(e *entry, asker *Member, asked uint64, now time.Time) Out {
	t.sequence++
	t.pending[t.sequence] = &probe{target: e.Name, sent: now, asker: asker, asked: asked}
	p := t.packet(Ping, t.sequence)
	if e.State != Alive {
		// Let it know, so that it can refute.
		p.Updates = append(p.Updates, e.Member)
	}
	return Out{To: e.Address, Packet: p}
}

// packet makes a packet with the news that were sent least.
func (t *Table) packet(k Kind, seq uint64) Packet {
	p := Packet{Kind: k, Sequence: seq, From: t.self, Mark: t.mark}
	slices.SortStableFunc(t.news, func(a, b *update) int { return cmp.Compare(a.sent, b.sent) })
	limit := spreadFactor * (bits.Len(uint(len(t.others)+1)) + 1)
	for _, u := range t.news[:min(len(t.news), t.cfg.Updates)] {
		p.Updates = append(p.Updates, u.Member)
		u.sent++
	}
	t.news = slices.DeleteFunc(t.news, func(u *update) bool { return u.sent >= limit })
	return p
}

// changed notes a new state of e and spreads it.
func (t *Table) changed(e *entry, now time.Time) {
	e.since = now
	t.version++
	t.tell(e.Member)
}

func (t *Table) tell(m Member) {
	t.news = slices.DeleteFunc(t.news, func(u *update) bool { return u.Name == m.Name })
	t.news = append(t.news, &update{Member: m})
}

func (t *Table) set(m Member, now time.Time) *entry {
	e := t.others[m.Name]
	if e == nil {
		e = &entry{}
		t.others[m.Name] = e
	}
	e.Member, e.since = m, now
	t.version++
	return e
}
