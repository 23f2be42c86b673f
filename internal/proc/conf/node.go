package conf

import (
	"net/netip"
	"os"
	"time"

	"github.com/gravitational/trace"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/seal"
	"umberladder/internal/route/infer"
	"umberladder/internal/state/config"
)

// Node holds the settings of an entry VM (umberladder serve).
type Node struct {
	Name         ident.VM
	Domain       ident.FailureDomain
	Clients      netip.AddrPort // HTTP for clients
	Operators    netip.AddrPort // HTTP for operators
	Peers        netip.AddrPort // UDP and TCP for other VMs
	Store        netip.AddrPort
	VMList       netip.AddrPort
	Secrets      []seal.Secret
	OperatorKeys []config.KeyHash // keys with access to all operator paths
	ClaimTTL     time.Duration    // duration of the lease on shards of idempotency keys
	LogLevel     string
	Placement    string
	Limits       Limits
	Generation   infer.Config
	StoreBudget  StoreBudget
	Memory       int // of the VM, in bytes
	Descriptors  int // that the process may have open; zero: as many as the system allows
}

// Limits holds limits on sizes and times.
type Limits struct {
	MaxBodyBytes      int           // of a client's request
	MaxHeaderBytes    int           // of a client's request
	MaxResponseBytes  int           // of a plain server's response
	MaxConns          int           // of clients
	ReadTimeout       time.Duration // time for a client to send a request
	IdleTimeout       time.Duration // time between two requests on a connection
	WriteTimeout      time.Duration // time a client may go without reading
	ConnectTimeout    time.Duration // for connections to backend servers
	EngineIdleTimeout time.Duration // longest time without data on an engine connection
	LoadInterval      time.Duration // time between two reads of an engine's load report
	DrainDelay        time.Duration // time from not ready to closing the listener
}

// StoreBudget limits the rate of calls to the platform's key-value store.
type StoreBudget struct {
	CallsPerSecond float64
	Burst          int
}

// Read reads the settings of an entry VM from a file.
func Read(path string) (*Node, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	n, err := Parse(data)
	return n, trace.Wrap(err, "%s", path)
}

// Parse parses the settings of an entry VM. The error names the first invalid
// member.
func Parse(data []byte) (*Node, error) {
	var w nodeWire
	if err := config.Decode(data, &w); err != nil {
		return nil, trace.Wrap(err)
	}
	f := &config.Validator{}
	n := w.node(f)
	return n, f.Err()
}
