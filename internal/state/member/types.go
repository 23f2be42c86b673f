package member

import (
	"net/netip"
	"time"

	"umberladder/internal/core/ident"
)

// State says what is known of a VM.
type State uint8

// The states, in the order in which one overrides the other at the same
// incarnation.
const (
	Alive State = iota
	Suspect
	Left // it announced that it leaves
	Dead
)

func (s State) String() string {
	return [...]string{"alive", "suspect", "left", "dead"}[s]
}

// Member is one VM as others know it.
type Member struct {
	Name        ident.VM
	Address     netip.AddrPort
	Domain      ident.Domain
	Incarnation uint64
	State       State
}

// overrides reports whether news m replaces what is known.
func (m *Member) overrides(known *Member) bool {
	if m.Incarnation != known.Incarnation {
		return m.Incarnation > known.Incarnation
	}
	return m.State > known.State
}

// Kind says what a packet is.
type Kind uint8

// The kinds of packets.
const (
	Ping      Kind = iota // answer with Ack
	Ack                   // the answer to a Ping of the same sequence
	Indirect              // ping Target for me
	Announced             // news only: no answer
)

// Packet is one datagram.
type Packet struct {
	Kind     Kind
	Sequence uint64
	From     Member
	Target   ident.VM // of Indirect
	Updates  []Member
	Mark     Mark // of the settings in force at the sender
}

// Mark tells which settings a VM has in force.
type Mark struct {
	Revision uint64 // every document up to it
	Ahead    uint64 // sum of the versions above it
}

// Out is a packet to send.
type Out struct {
	To     netip.AddrPort
	Packet Packet
}

// Config holds the times and numbers of the protocol.
type Config struct {
	Period  time.Duration // between two pings
	Ack     time.Duration // until a ping counts as unanswered
	Helpers int           // VMs asked to ping in one's stead
	Suspect time.Duration // until a suspicion removes
	Probe   int           // periods between two pings of a removed VM on the list
	Updates int           // most updates in a packet
}

// DefaultConfig returns the values measured in docs/design.
func DefaultConfig() Config {
	return Config{
		Period:  500 * time.Millisecond,
		Ack:     200 * time.Millisecond,
		Helpers: 3,
		Suspect: 3 * time.Second,
		Probe:   4,
		Updates: 8,
	}
}
