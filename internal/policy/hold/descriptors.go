package hold

import "time"

const (
	// Connections of clients leave a share of the descriptors, and some more, to connections to
	// servers, to other VMs and to the store, and to listeners. Connections to servers leave a
	// smaller one to the others.
	clientReserveShare = 8
	clientReserve      = 64
	serverReserveShare = 16
	serverReserve      = 40
)

// Descriptors returns how many descriptors connections to clients and servers use, and how many
// the process may have open in all; zero: any number.
func (p *Pool) Descriptors() (used, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.descriptors != nil {
		limit = p.descriptors()
	}
	return p.clients + p.others, limit
}

// freeDescriptors reclaims accounts until there is a descriptor for another connection of a
// client. It reports false if there is none.
func (p *Pool) freeDescriptors(now time.Time) ([]*Account, bool) {
	if p.descriptors == nil {
		return nil, true
	}
	limit := p.descriptors()
	var victims []*Account
	for p.clients-p.closing+p.others >= clientLimit(limit) {
		v := p.oldest(now)
		if v == nil {
			return victims, false
		}
		p.reclaim(v, Idle)
		victims = append(victims, v)
	}
	// Those that are being closed may use a part of the reserve.
	return victims, p.clients+p.others < serverLimit(limit)
}

// clientLimit returns up to how many descriptors in use connections of clients may take another one.
func clientLimit(limit int) int { return limit - limit/clientReserveShare - clientReserve }

// serverLimit returns the same for connections to servers.
func serverLimit(limit int) int { return limit - limit/serverReserveShare - serverReserve }

// ReclaimDescriptor reclaims the connection of a client, if one waits for its client, because the
// process got no descriptor.
func (p *Pool) ReclaimDescriptor() {
	p.mu.Lock()
	var victims []*Account
	if v := p.oldest(time.Now()); v != nil {
		p.reclaim(v, Idle)
		victims = append(victims, v)
	}
	p.mu.Unlock()
	interruptAll(victims)
}

// oldest returns the account to reclaim next for its connection, or nil.
func (p *Pool) oldest(now time.Time) *Account {
	if a := p.waiting[Idle].first(); a != nil {
		return a
	}
	for _, s := range []State{Receiving, Sending} {
		if a := p.waiting[s].first(); a != nil && now.Sub(a.since) >= stallTime {
			return a
		}
	}
	return nil
}

// OpenOther takes a descriptor for a connection to a server or to another VM. Idle connections of
// clients make room for it. The error is ErrExhausted if there is none.
func (p *Pool) OpenOther() error {
	if p.descriptors == nil {
		return nil
	}
	now := time.Now()
	p.mu.Lock()
	limit := p.descriptors()
	var victims []*Account
	if p.clients-p.closing+p.others >= clientLimit(limit) {
		if v := p.oldest(now); v != nil {
			p.reclaim(v, Idle)
			victims = append(victims, v)
		}
	}
	ok := p.clients+p.others < serverLimit(limit)
	if ok {
		p.others++
	} else {
		p.countRefusal(Connections, now)
	}
	p.mu.Unlock()
	interruptAll(victims)
	if !ok {
		return ErrExhausted
	}
	return nil
}

// CloseOther gives back the descriptor of OpenOther.
func (p *Pool) CloseOther() {
	if p.descriptors == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.others--
}
