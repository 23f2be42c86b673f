package member

import "time"

// Receive applies a packet and returns the packets to send in response.
func (t *Table) Receive(p Packet, now time.Time) []Outbound {
	if p.From.Name == t.self.Name {
		return nil
	}
	t.applyUpdate(p.From, now)
	for _, m := range p.Updates {
		t.applyUpdate(m, now)
	}
	switch p.Kind {
	case Ping:
		return []Outbound{{To: p.From.Address, Packet: t.newPacket(Ack, p.Sequence)}}
	case Ack:
		return t.handleAck(p, now)
	case PingReq:
		if e := t.others[p.Target]; e != nil {
			from := p.From
			return []Outbound{t.newPing(e, &from, p.Sequence, now)}
		}
	}
	return nil
}

// handleAck handles the ack of a ping that this VM sent for itself or at the
// request of another VM.
func (t *Table) handleAck(p Packet, now time.Time) []Outbound {
	pr := t.probes[p.Sequence]
	if pr == nil {
		return nil
	}
	answered := pr.target == p.From.Name || pr.indirect
	if !answered {
		return nil
	}
	delete(t.probes, p.Sequence)
	if pr.requester != nil {
		// Forward the ack to the requester, with this VM as the sender.
		return []Outbound{{To: pr.requester.Address, Packet: t.newPacket(Ack, pr.requestSeq)}}
	}
	if e := t.others[pr.target]; e != nil && e.State == Suspect {
		e.State = Alive
		e.stateSince = now
		t.version++
	}
	return nil
}

// applyUpdate applies a packet's update of one VM.
func (t *Table) applyUpdate(m Member, now time.Time) {
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
	e = t.setMember(m, now)
	t.enqueueUpdate(e.Member)
}

// refute overrides an update that says that this VM is not alive, by raising its
// incarnation.
func (t *Table) refute(m Member) {
	if t.self.State != Alive || m.State == Alive && m.Incarnation <= t.self.Incarnation {
		return
	}
	if m.Incarnation < t.self.Incarnation {
		return
	}
	t.self.Incarnation = m.Incarnation + 1
	t.version++
	t.enqueueUpdate(t.self)
}

// Leave returns packets that announce to several VMs that this VM is shutting down.
func (t *Table) Leave(now time.Time) []Outbound {
	t.self.State = Left
	t.version++
	t.enqueueUpdate(t.self)
	var out []Outbound
	for _, name := range t.shuffled() {
		e := t.others[name]
		if e.State > Suspect {
			continue
		}
		out = append(out, Outbound{To: e.Address, Packet: t.newPacket(Announcement, 0)})
		if len(out) == leaveFanout {
			break
		}
	}
	t.lastTick = now
	return out
}

// leaveFanout is how many VMs a VM announces its shutdown to directly; the others
// receive the update from these.
const leaveFanout = 8

// Announce returns a packet of updates for each of the given VMs but this one.
func (t *Table) Announce(to []Member) []Outbound {
	var out []Outbound
	for _, m := range to {
		if m.Name != t.self.Name {
			out = append(out, Outbound{To: m.Address, Packet: t.newPacket(Announcement, 0)})
		}
	}
	return out
}
