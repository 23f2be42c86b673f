package conf

import (
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/poison"
	"umberladder/internal/state/config"
)

// Edge is the settings of a VM that serves a platform's clients.
type Edge struct {
	Name     ident.VM
	Domain   ident.Domain
	Callers  netip.AddrPort // HTTP for clients
	Ready    netip.AddrPort // HTTP for the balancer's readiness checks
	Metrics  netip.AddrPort // HTTP for metrics
	Peers    netip.AddrPort // UDP and HTTP for other VMs
	Store    netip.AddrPort
	Seeds    []netip.AddrPort // VMs that one that knows nobody asks for others
	Cores    float64          // share of processor cores that the VM has
	Link     float64          // rate of its link, in bits a second
	LogLevel string
	LogRate  int           // most log lines a second
	Revoke   time.Duration // how long after its end an API key may be served
	Apply    time.Duration // how long a change of the settings may take to be in force
	Grace    time.Duration // from the signal to stop to the end of the process
	Retry    RetryShare
	// Quarantine is of requests that crash the servers that run them.
	Quarantine poison.Config
}

// RetryShare bounds the sendings beyond the first of each call, over all VMs.
type RetryShare struct {
	Ratio  float64 // of the first sendings in the window
	Extra  float64 // sendings in the window that need no first ones
	Window time.Duration
}

type edgeWire struct {
	Name     string         `json:"name"`
	Domain   string         `json:"failure-domain"`
	Callers  string         `json:"callers-address"`
	Ready    string         `json:"ready-address"`
	Metrics  string         `json:"metrics-address"`
	Peers    string         `json:"peers-address"`
	Store    string         `json:"store-address"`
	Seeds    []string       `json:"seeds,omitzero"`
	Cores    *float64       `json:"processor-cores,omitzero"`
	Link     *float64       `json:"link-mbit-per-second,omitzero"`
	LogLevel *string        `json:"log-level,omitzero"`
	LogRate  *int           `json:"log-lines-per-second,omitzero"`
	Revoke   *string        `json:"revoke-bound,omitzero"`
	Apply    *string        `json:"apply-bound,omitzero"`
	Grace    *string        `json:"stop-grace,omitzero"`
	Retry    retryShareWire `json:"retry-budget,omitzero"`

	Quarantine quarantineWire `json:"quarantine,omitzero"`
}

type quarantineWire struct {
	Crashes *int    `json:"crashes,omitzero"`
	Time    *string `json:"time,omitzero"`
}

type retryShareWire struct {
	Ratio  *float64 `json:"ratio,omitzero"`
	Extra  *float64 `json:"extra,omitzero"`
	Window *string  `json:"window,omitzero"`
}

// Defaults of the members that may be left out.
const (
	DefaultCores = 1.0
	DefaultLink  = 1000.0 // in Mbit/s
	// DefaultLogRate is three lines a call at 100 calls a second.
	DefaultLogRate = 300
	DefaultRevoke  = 5 * time.Second
	DefaultApply   = 3 * time.Second
	DefaultGrace   = 8 * time.Second
	DefaultRatio   = 0.2
	DefaultExtra   = 20.0
	DefaultWindow  = 10 * time.Second
	// DefaultCrashes and DefaultQuarantineTime are of the quarantine of requests.
	DefaultCrashes        = 3
	DefaultQuarantineTime = 10 * time.Minute
)

// DefaultQuarantine returns the quarantine of settings that say nothing of it.
func DefaultQuarantine() poison.Config {
	return poison.Config{Crashes: DefaultCrashes, Time: DefaultQuarantineTime}
}

// A quarantine lasts as long as a lease of the store at most.
const (
	minQuarantine = 10 * time.Second
	maxQuarantine = 10 * time.Minute
)

// megabit is a Mbit/s in bits a second.
const megabit = 1e6

// ReadEdge reads the settings of an edge VM in a file.
func ReadEdge(path string) (*Edge, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	e, err := ParseEdge(data)
	return e, trace.Wrap(err, "%s", path)
}

// ParseEdge reads the settings of an edge VM and names the first member at fault.
func ParseEdge(data []byte) (*Edge, error) {
	var w edgeWire
	if err := config.Decode(data, &w); err != nil {
		return nil, trace.Wrap(err)
	}
	f := &config.Fields{}
	e := &Edge{
		Name:     ident.VM(f.Name("/name", w.Name)),
		Domain:   ident.Domain(f.Name("/failure-domain", w.Domain)),
		Callers:  f.Address("/callers-address", w.Callers),
		Ready:    f.Address("/ready-address", w.Ready),
		Metrics:  f.Address("/metrics-address", w.Metrics),
		Peers:    f.Address("/peers-address", w.Peers),
		Store:    f.Address("/store-address", w.Store),
		Seeds:    seeds(f, w.Seeds),
		Cores:    f.Float("/processor-cores", w.Cores, DefaultCores, 0.001, 10_000),
		Link:     f.Float("/link-mbit-per-second", w.Link, DefaultLink, 0.001, 1e7) * megabit,
		LogLevel: oneOf(f, "/log-level", w.LogLevel, DefaultLogLevel, logLevels),
		LogRate:  f.Int("/log-lines-per-second", w.LogRate, DefaultLogRate, 1, 1_000_000),
		Revoke:   f.Duration("/revoke-bound", w.Revoke, DefaultRevoke, 500*time.Millisecond, time.Hour),
		Apply:    f.Duration("/apply-bound", w.Apply, DefaultApply, 1500*time.Millisecond, time.Hour),
		Grace:    f.Duration("/stop-grace", w.Grace, DefaultGrace, 500*time.Millisecond, time.Hour),
		Retry: RetryShare{
			Ratio:  f.Float("/retry-budget/ratio", w.Retry.Ratio, DefaultRatio, 0, 10),
			Extra:  f.Float("/retry-budget/extra", w.Retry.Extra, DefaultExtra, 0, 1e6),
			Window: f.Duration("/retry-budget/window", w.Retry.Window, DefaultWindow, 100*time.Millisecond, time.Hour),
		},
		Quarantine: poison.Config{
			Crashes: f.Int("/quarantine/crashes", w.Quarantine.Crashes, DefaultCrashes, 1, 1000),
			Time:    f.Duration("/quarantine/time", w.Quarantine.Time, DefaultQuarantineTime, minQuarantine, maxQuarantine),
		},
	}
	return e, f.Err()
}

// seeds reads the addresses of other VMs.
func seeds(f *config.Fields, list []string) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(list))
	for i, text := range list {
		out = append(out, f.Address("/seeds/"+strconv.Itoa(i), text))
	}
	return out
}

// Member describes one member of a settings file, for its page and the command
// line's help.
type Member struct {
	Path    string
	Default string // empty: it must be given
	Help    string
}

// EdgeMembers lists the members of an edge VM's settings.
func EdgeMembers() []Member {
	return []Member{
		{"name", "", "name of this VM"},
		{"failure-domain", "", "failure domain of this VM"},
		{"callers-address", "", "HTTP for clients"},
		{"ready-address", "", "HTTP for the balancer's readiness checks"},
		{"metrics-address", "", "HTTP for metrics"},
		{"peers-address", "", "UDP and HTTP for other VMs"},
		{"store-address", "", "the platform's store"},
		{"seeds", "[]", "peers-addresses of some VMs, for one that knows nobody; they may be out of date"},
		{"processor-cores", formatFloat(DefaultCores), "share of processor cores that the VM has; those with most work for all others"},
		{"link-mbit-per-second", formatFloat(DefaultLink), "rate of the VM's link; as for processor-cores"},
		{"log-level", DefaultLogLevel, "debug, info, warn or error"},
		{"log-lines-per-second", strconv.Itoa(DefaultLogRate), "most log lines a second"},
		{"revoke-bound", DefaultRevoke.String(), "how long after its end an API key may be served"},
		{"apply-bound", DefaultApply.String(), "how long a change of the settings may take to be in force"},
		{"stop-grace", DefaultGrace.String(), "from the signal to stop to the end of the process"},
		{"retry-budget/ratio", formatFloat(DefaultRatio), "sendings beyond the first of each call, over all VMs, as a share of the first ones"},
		{"retry-budget/extra", formatFloat(DefaultExtra), "sendings beyond these in each window"},
		{"retry-budget/window", DefaultWindow.String(), "the window of the retry budget"},
		{"quarantine/crashes", strconv.Itoa(DefaultCrashes), "servers that crash while they begin to run a request until it is quarantined"},
		{"quarantine/time", DefaultQuarantineTime.String(), "how long a request is quarantined, and for how long a crash counts against it"},
	}
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }
