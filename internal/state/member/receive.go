package member

import "time"

// Receive takes a packet and returns the packets to send for it.
func (t *Table) Receive(p Packet, now time.Time) []Out {
	if p.From.Name == t.self.Name {
		return nil
	}
	t.learn(p.From, now)
	for _, m := range p.Updates {
		t.learn(m, now)
	}
	switch p.Kind {
	case Ping:
		return []Out{{To: p.From.Address, Packet: t.packet(Ack, p.Sequence)}}
	case Ack:
		return t.acked(p, now)
	case Indirect:
		if e := t.others[p.Target]; e != nil {
			from := p.From
			return []Out{t.ping(e, &from, p.Sequence, now)}
		}
	}
	return nil
}

// acked takes the answer to a ping, for this VM itself or for the one that
// asked it to help.
func (t *Table) acked(p Packet, now time.Time) []Out {
	pr := t.pending[p.Sequence]
	if pr == nil {
		return nil
	}
	answered := pr.target == p.From.Name || pr.helped
	if !answered {
		return nil
	}
	delete(t.pending, p.Sequence)
	if pr.asker != nil {
		// The helper passes the answer on in its own name.
		return []Out{{To: pr.asker.Address, Packet: t.packet(Ack, pr.asked)}}
	}
	if e := t.others[pr.target]; e != nil && e.State == Suspect {
		e.State = Alive
		e.since = now
		t.version++
	}
	return nil
}

// learn takes what a packet says of one VM.
func (t *Table) learn(m Member, now time.Time) {
	if m.Name == t.self.Name {
		t.refute(m)
		return
	}
	e := t.others[m.Name]
	if e != nil && !m.overrides(&e.Member) {
		return
	}
	if e == nil && m.State >= Left {
		return // nothing to remove
	}
	e = t.set(m, now)
	t.tell(e.Member)
}

// refute answers word of this VM's own end with a higher incarnation.
func (t *Table) refute(m Member) {
	if t.self.State != Alive || m.State == Alive && m.Incarnation <= t.self.Incarnation {
		return
	}
	if m.Incarnation < t.self.Incarnation {
		return
	}
	t.self.Incarnation = m.Incarnation + 1
	t.version++
	t.tell(t.self)
}

// Leave announces that this VM leaves, to several VMs at once.
func (t *Table) Leave(now time.Time) []Out {
	t.self.State = Left
	t.version++
	t.tell(t.self)
	var out []Out
	for _, name := range t.shuffled() {
		e := t.others[name]
		if e.State > Suspect {
			continue
		}
		out = append(out, Out{To: e.Address, Packet: t.packet(Announced, 0)})
		if len(out) == leaveFanout {
			break
		}
	}
	t.lastTick = now
	return out
}

// leaveFanout is how many VMs hear of a leaving directly; the others hear it
// from them.
const leaveFanout = 8

// Announce returns a packet of news for each VM of the given names.
func (t *Table) Announce(to []Member) []Out {
	var out []Out
	for _, m := range to {
		if m.Name != t.self.Name {
			out = append(out, Out{To: m.Address, Packet: t.packet(Announced, 0)})
		}
	}
	return out
}
