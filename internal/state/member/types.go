package member

import (
	"net/netip"
	"time"

	"umberladder/internal/core/ident"
)

// State is the state of a VM as others know it.
type State uint8

// The states, in the order in which one overrides the other at the same
// incarnation.
const (
	Alive State = iota
	Suspect
	Left // it has announced its shutdown
	Dead
)

func (s State) String() string {
	return [...]string{"alive", "suspect", "left", "dead"}[s]
}

// Member is one VM as others know it.
type Member struct {
	Name        ident.VM
	Address     netip.AddrPort
	Domain      ident.FailureDomain
	Incarnation uint64
	State       State
}

// overrides reports whether update m replaces what is known.
func (m *Member) overrides(known *Member) bool {
	if m.Incarnation != known.Incarnation {
		return m.Incarnation > known.Incarnation
	}
	return m.State > known.State
}

// Kind is the kind of a packet.
type Kind uint8

// The kinds of packets.
const (
	Ping         Kind = iota // asks for an Ack
	Ack                      // response to a Ping or PingReq with the same sequence number
	PingReq                  // asks to ping Target for the sender
	Announcement             // carries updates only; no response
)

// Packet is one datagram.
type Packet struct {
	Kind            Kind
	Sequence        uint64
	From            Member
	Target          ident.VM // of a PingReq
	Updates         []Member
	SettingsVersion SettingsVersion // of the settings in force at the sender
}

// SettingsVersion identifies the settings that a VM has in force.
type SettingsVersion struct {
	Revision uint64 // every document up to this revision is in force
	Ahead    uint64 // sum of the versions of documents in force above Revision
}

// Outbound is a packet to send.
type Outbound struct {
	To     netip.AddrPort
	Packet Packet
}

// Config holds the parameters of the protocol.
type Config struct {
	Period           time.Duration // between pings of two targets
	AckTimeout       time.Duration // until indirect pings are requested
	IndirectPings    int           // how many VMs are asked for an indirect ping
	SuspicionTimeout time.Duration // until a suspect is declared dead
	DeadPingPeriods  int           // periods between two pings of dead VMs on the platform's list
	MaxUpdates       int           // maximum number of updates in a packet
}

// DefaultConfig returns the parameters that docs/design/06-membership.md explains.
func DefaultConfig() Config {
	return Config{
		Period:           500 * time.Millisecond,
		AckTimeout:       200 * time.Millisecond,
		IndirectPings:    3,
		SuspicionTimeout: 3 * time.Second,
		DeadPingPeriods:  4,
		MaxUpdates:       8,
	}
}
