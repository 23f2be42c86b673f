package plan

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
)

const (
	callersPort   = 8080
	operatorsPort = 8081
	peersPort     = 8082
	storePort     = 7000
	listPort      = 7001
	enginePort    = 9000
	plainPort     = 9100
	copyPort      = 7002
	maxNodes      = 250
)

// Profile is one deployment: how many processes of each kind there are and
// how large the engines are.
type Profile struct {
	Name    string
	Domains int
	Engines int
	Plain   int
	Memory  int           // of an engine, in tokens
	Batch   int           // of an engine, in streams
	Step    time.Duration // of an engine
}

// Profiles lists the deployments by name: the two of the brief, with the
// engines made small, and a smaller one for demonstrations.
func Profiles() []Profile {
	return []Profile{
		{Name: "demo", Domains: 3, Engines: 4, Plain: 2, Memory: 6000, Batch: 64, Step: 4 * time.Millisecond},
		{Name: "cistern-row", Domains: 4, Engines: 12, Plain: 4, Memory: 6000, Batch: 64, Step: 4 * time.Millisecond},
		{Name: "liinirike", Domains: 3, Engines: 14, Plain: 3, Memory: 6000, Batch: 64, Step: 4 * time.Millisecond},
	}
}

// FindProfile returns the profile of a name.
func FindProfile(name string) (Profile, error) {
	for _, p := range Profiles() {
		if p.Name == name {
			return p, nil
		}
	}
	return Profile{}, trace.NotFound("there is no profile %q", name)
}

// Node is one process of the fleet, by role.
type Node struct {
	Name    string
	Domain  string
	Address netip.AddrPort
}

// Fleet is a laid-out fleet.
type Fleet struct {
	Dir       string
	Profile   Profile
	VMs       []Node // address for callers
	Operators []Node // the same VMs, address for operators
	Peers     []Node // the same VMs, address for other VMs
	Engines   []Node
	Plain     []Node
	Store     netip.AddrPort
	VMList    netip.AddrPort
	Copy      netip.AddrPort // of a bare copy of engine 1's streams, if wanted
	Placement string
	Reserve   float64
	Verbose   bool
}

// New lays out a fleet of n VMs in the loopback network 127.net.0.0/16.
func New(dir string, p Profile, n, net int) (*Fleet, error) {
	if n < 1 || n > maxNodes {
		return nil, trace.BadParameter("want 1 to %d VMs, got %d", maxNodes, n)
	}
	if net < 0 || net > 255 {
		return nil, trace.BadParameter("want a network from 0 to 255, got %d", net)
	}
	at := func(role, i, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(net), byte(role), byte(i)}), uint16(port))
	}
	f := &Fleet{Dir: dir, Profile: p, Store: at(2, 1, storePort), VMList: at(2, 1, listPort), Placement: "predicted"}
	for i := range n {
		name, domain := fmt.Sprintf("vm-%d", i+1), domainOf(i, p.Domains)
		f.VMs = append(f.VMs, Node{Name: name, Domain: domain, Address: at(1, i+1, callersPort)})
		f.Operators = append(f.Operators, Node{Name: name, Domain: domain, Address: at(1, i+1, operatorsPort)})
		f.Peers = append(f.Peers, Node{Name: name, Domain: domain, Address: at(1, i+1, peersPort)})
	}
	for i := range p.Engines {
		f.Engines = append(f.Engines, Node{
			Name:    fmt.Sprintf("engine-%d", i+1),
			Domain:  domainOf(i, p.Domains),
			Address: at(3+i/maxNodes, 1+i%maxNodes, enginePort),
		})
	}
	for i := range p.Plain {
		f.Plain = append(f.Plain, Node{Name: fmt.Sprintf("plain-%d", i+1), Domain: domainOf(i, p.Domains), Address: at(200, i+1, plainPort)})
	}
	return f, nil
}

func domainOf(i, domains int) string { return fmt.Sprintf("fd-%c", 'a'+i%domains) }

// WithCopy adds a process that copies engine 1's streams and does nothing
// else, to measure against.
func (f *Fleet) WithCopy() {
	f.Copy = netip.AddrPortFrom(f.Store.Addr().Next(), copyPort)
}

// Workspaces and services of every fleet.
const (
	Installers = "installers" // a workspace of installers
	Faultdesk  = "fault-desk" // a workspace of a fault desk

	Proposals = "proposals" // long generations
	Questions = "questions" // short urgent generations
	Triage    = "triage"    // short generations that may not be repeated
	Bookings  = "bookings"  // plain calls that may not be repeated
	Lookups   = "lookups"   // plain calls that may be
)

// CallerKey returns the bearer key of a workspace's callers.
func CallerKey(workspace string) string { return "caller-of-" + workspace }

// OperatorKey returns the key of a subtree's operators; "system" is the
// system's.
func OperatorKey(subtree string) string { return "operator-of-" + subtree }

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
