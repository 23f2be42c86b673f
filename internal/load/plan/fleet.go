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
	clientPort    = 8080
	operatorsPort = 8081
	peersPort     = 8082
	storePort     = 7000
	vmListPort    = 7001
	enginePort    = 9000
	plainPort     = 9100
	proxyPort     = 7002
	maxHosts      = 250 // addresses used in each /24 network
)

// Profile describes a deployment: the number of failure domains and backend
// servers, and the size of the engines.
type Profile struct {
	Name           string
	FailureDomains int
	Engines        int
	PlainServers   int
	EngineMemory   int           // of an engine, in tokens
	EngineBatch    int           // largest batch of an engine, in streams
	EngineStep     time.Duration // time of one step of an engine
}

// Profiles returns the known profiles: the two deployments that the requirements
// describe, with small engines, and a smaller one for demonstrations.
func Profiles() []Profile {
	return []Profile{
		{Name: "demo", FailureDomains: 3, Engines: 4, PlainServers: 2, EngineMemory: 6000, EngineBatch: 64, EngineStep: 4 * time.Millisecond},
		{Name: "cistern-row", FailureDomains: 4, Engines: 12, PlainServers: 4, EngineMemory: 6000, EngineBatch: 64, EngineStep: 4 * time.Millisecond},
		{Name: "liinirike", FailureDomains: 3, Engines: 14, PlainServers: 3, EngineMemory: 6000, EngineBatch: 64, EngineStep: 4 * time.Millisecond},
	}
}

// FindProfile returns the profile with the given name.
func FindProfile(name string) (Profile, error) {
	for _, p := range Profiles() {
		if p.Name == name {
			return p, nil
		}
	}
	return Profile{}, trace.NotFound("profile %q does not exist", name)
}

// Endpoint is one address of a process of the fleet. A VM has an endpoint for
// each kind of client.
type Endpoint struct {
	Name    string
	Domain  string
	Address netip.AddrPort
}

// Fleet is the layout of a fleet.
type Fleet struct {
	Dir          string
	Profile      Profile
	VMs          []Endpoint // VMs, addresses for clients
	Operators    []Endpoint // the same VMs, addresses for operators
	Peers        []Endpoint // the same VMs, addresses for other VMs
	Engines      []Endpoint
	PlainServers []Endpoint
	Store        netip.AddrPort
	VMList       netip.AddrPort
	Proxy        netip.AddrPort // of the pass-through proxy for engine 1; zero: none
	Placement    string
	Reserve      float64 // share of engine memory that is reserved for urgent calls
	Verbose      bool    // VMs log every request
}

// New lays out a fleet of numVMs VMs in the loopback network 127.net.0.0/16. The
// third byte of an address says which kind of process has it.
func New(dir string, p Profile, numVMs, net int) (*Fleet, error) {
	if numVMs < 1 || numVMs > maxHosts {
		return nil, trace.BadParameter("want 1 to %d VMs, got %d", maxHosts, numVMs)
	}
	if net < 0 || net > 255 {
		return nil, trace.BadParameter("want a network from 0 to 255, got %d", net)
	}
	addr := func(role, i, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(net), byte(role), byte(i)}), uint16(port))
	}
	f := &Fleet{Dir: dir, Profile: p, Store: addr(2, 1, storePort), VMList: addr(2, 1, vmListPort), Placement: "predicted"}
	for i := range numVMs {
		name, domain := fmt.Sprintf("vm-%d", i+1), failureDomain(i, p.FailureDomains)
		f.VMs = append(f.VMs, Endpoint{Name: name, Domain: domain, Address: addr(1, i+1, clientPort)})
		f.Operators = append(f.Operators, Endpoint{Name: name, Domain: domain, Address: addr(1, i+1, operatorsPort)})
		f.Peers = append(f.Peers, Endpoint{Name: name, Domain: domain, Address: addr(1, i+1, peersPort)})
	}
	for i := range p.Engines {
		f.Engines = append(f.Engines, Endpoint{
			Name:    fmt.Sprintf("engine-%d", i+1),
			Domain:  failureDomain(i, p.FailureDomains),
			Address: addr(3+i/maxHosts, 1+i%maxHosts, enginePort),
		})
	}
	for i := range p.PlainServers {
		f.PlainServers = append(f.PlainServers, Endpoint{Name: fmt.Sprintf("plain-%d", i+1), Domain: failureDomain(i, p.FailureDomains), Address: addr(200, i+1, plainPort)})
	}
	return f, nil
}

func failureDomain(i, domains int) string { return fmt.Sprintf("fd-%c", 'a'+i%domains) }

// AddProxy adds a pass-through proxy for the streams of engine 1, as a baseline
// for measurements.
func (f *Fleet) AddProxy() {
	f.Proxy = netip.AddrPortFrom(f.Store.Addr().Next(), proxyPort)
}

// Workspaces and services of every fleet.
const (
	Installers = "installers"
	FaultDesk  = "fault-desk"

	Proposals = "proposals" // long generations
	Questions = "questions" // short urgent generations
	Triage    = "triage"    // short at-most-once generations
	Bookings  = "bookings"  // at-most-once plain calls
	Lookups   = "lookups"   // retryable plain calls
)

// ClientKey returns the API key of a workspace's clients.
func ClientKey(workspace string) string { return "caller-of-" + workspace }

// OperatorKey returns the key of the operators of a workspace, or of the whole
// system if subtree is "system".
func OperatorKey(subtree string) string { return "operator-of-" + subtree }

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
