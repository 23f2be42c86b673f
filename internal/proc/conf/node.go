package conf

import (
	"net/netip"
	"os"
	"time"

	"github.com/gravitational/trace"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/seal"
	"umberladder/internal/route/gener"
	"umberladder/internal/state/config"
)

// Node is a node's own settings.
type Node struct {
	Name      ident.VM
	Domain    ident.Domain
	Callers   netip.AddrPort // HTTP for callers
	Operators netip.AddrPort // HTTP for operators
	Peers     netip.AddrPort // UDP and TCP for other VMs
	Store     netip.AddrPort
	VMList    netip.AddrPort
	Secrets   []seal.Secret
	OperKeys  []config.KeyHash // of operators who open everything
	ClaimTTL  time.Duration    // of the lease on idempotency keys
	LogLevel  string
	Placement string
	Limits    Limits
	Generate  gener.Config
	Budget    Budget
}

// Limits bound sizes and waits.
type Limits struct {
	Body         int           // caller's request body, bytes
	Header       int           // caller's header section, bytes
	Answer       int           // plain server's answer, bytes
	Connections  int           // open caller connections
	Read         time.Duration // time to send a request
	Idle         time.Duration // time between two requests of a connection
	CallerStall  time.Duration // time a caller may not read
	Connect      time.Duration // time to connect to a backend server
	EngineIdle   time.Duration // longest silence of an engine's link
	LoadInterval time.Duration // between two load reports of an engine
	DrainDelay   time.Duration // from not ready to closing the listener
}

// Budget bounds the calls to the platform's key-value service.
type Budget struct {
	PerSecond float64
	Burst     int
}

// Read reads the node settings in a file.
func Read(path string) (*Node, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	n, err := Parse(data)
	return n, trace.Wrap(err, "%s", path)
}

// Parse reads node settings and names the first member at fault.
func Parse(data []byte) (*Node, error) {
	var w nodeWire
	if err := config.Decode(data, &w); err != nil {
		return nil, trace.Wrap(err)
	}
	f := &config.Fields{}
	n := w.node(f)
	return n, f.Err()
}
