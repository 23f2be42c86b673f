package conf

import (
	"maps"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/poison"
	"umberladder/internal/state/config"
)

// Edge holds the settings of an edge VM, which serves a platform's clients.
type Edge struct {
	Name              ident.VM
	Domain            ident.FailureDomain
	Clients           netip.AddrPort // HTTP for clients
	Ready             netip.AddrPort // HTTP for the balancer's readiness checks
	Metrics           netip.AddrPort // HTTP for metrics
	Peers             netip.AddrPort // UDP and HTTP for other VMs
	Store             netip.AddrPort
	Seeds             []netip.AddrPort // contacted to find other VMs while none is known
	Cores             float64          // number of processor cores available to the VM; may be fractional
	LinkBitsPerSecond float64          // rate of the VM's network link
	LogLevel          string
	LogLinesPerSecond int           // maximum rate of the log
	RevokeBound       time.Duration // how long an API key may be accepted after it was revoked
	ApplyBound        time.Duration // how long a settings change may take to be in force
	StopGrace         time.Duration // time from the stop signal to the exit of the process
	RetryBudget       RetryBudget
	// Quarantine configures the quarantine of requests that crash servers.
	Quarantine poison.Config
	// Regions are the regions of the failure domains.
	Regions   map[ident.FailureDomain]ident.Region
	ColdLimit ColdLimit
	// WorkspaceWeights are the weights of workspaces where they compete for too little capacity;
	// those of all others are DefaultWorkspaceWeight.
	WorkspaceWeights map[ident.Workspace]float64
	// EnginePriorities says whether streams state the priorities of their workspaces to engines.
	EnginePriorities bool
	// Memory is the memory of the VM in bytes, and Descriptors how many descriptors the process
	// may have open; zero: as many as the system allows.
	Memory      int
	Descriptors int
	// ServerHeartbeat is the interval at which servers write their entries in the store.
	ServerHeartbeat time.Duration
}

// ColdLimit limits the requests that a server gets from all VMs within a second while it is
// cold: Factor times the rate that its service states, plus Slack.
type ColdLimit struct {
	Factor float64
	Slack  float64 // requests
}

// Of returns the limit at a stated rate, in requests per second. Zero: there is no limit.
func (l ColdLimit) Of(rate float64) float64 { return l.Factor*rate + l.Slack }

// WorkspaceWeight returns the weight of a workspace.
func (e *Edge) WorkspaceWeight(w ident.Workspace) float64 {
	if weight, ok := e.WorkspaceWeights[w]; ok {
		return weight
	}
	return DefaultWorkspaceWeight
}

// RetryBudget limits retries, summed over all VMs: in each window, at most Ratio
// times the first attempts plus Extra.
type RetryBudget struct {
	Ratio  float64 // retries per first attempt in the window
	Extra  float64 // retries in the window allowed regardless of first attempts
	Window time.Duration
}

type edgeWire struct {
	Name              string          `json:"name"`
	Domain            string          `json:"failure-domain"`
	Clients           string          `json:"callers-address"`
	Ready             string          `json:"ready-address"`
	Metrics           string          `json:"metrics-address"`
	Peers             string          `json:"peers-address"`
	Store             string          `json:"store-address"`
	Seeds             []string        `json:"seeds,omitzero"`
	Cores             *float64        `json:"processor-cores,omitzero"`
	LinkMbps          *float64        `json:"link-mbit-per-second,omitzero"`
	LogLevel          *string         `json:"log-level,omitzero"`
	LogLinesPerSecond *int            `json:"log-lines-per-second,omitzero"`
	RevokeBound       *string         `json:"revoke-bound,omitzero"`
	ApplyBound        *string         `json:"apply-bound,omitzero"`
	StopGrace         *string         `json:"stop-grace,omitzero"`
	RetryBudget       retryBudgetWire `json:"retry-budget,omitzero"`

	Quarantine quarantineWire    `json:"quarantine,omitzero"`
	Regions    map[string]string `json:"regions,omitzero"`
	ColdLimit  coldLimitWire     `json:"cold-limit,omitzero"`
	Heartbeat  *string           `json:"server-heartbeat,omitzero"`
	// Weights are the weights of workspaces by their names.
	Weights          map[string]float64 `json:"workspace-weights,omitzero"`
	EnginePriorities bool               `json:"engine-priorities,omitzero"`
	MemoryMB         *float64           `json:"memory-mb,omitzero"`
	Descriptors      *int               `json:"descriptors,omitzero"`
}

type coldLimitWire struct {
	Factor *float64 `json:"factor,omitzero"`
	Slack  *float64 `json:"slack,omitzero"`
}

type quarantineWire struct {
	Crashes *int    `json:"crashes,omitzero"`
	Time    *string `json:"time,omitzero"`
}

type retryBudgetWire struct {
	Ratio  *float64 `json:"ratio,omitzero"`
	Extra  *float64 `json:"extra,omitzero"`
	Window *string  `json:"window,omitzero"`
}

// Defaults of the optional members.
const (
	DefaultProcessorCores = 1.0
	DefaultLinkMbps       = 1000.0 // in Mbit/s
	// DefaultLogLinesPerSecond allows three lines per call at 100 calls per second.
	DefaultLogLinesPerSecond = 300
	DefaultRevokeBound       = 5 * time.Second
	DefaultApplyBound        = 3 * time.Second
	DefaultStopGrace         = 8 * time.Second
	DefaultRetryRatio        = 0.2
	DefaultRetryExtra        = 20.0
	DefaultRetryWindow       = 10 * time.Second
	DefaultColdFactor        = 1.0
	DefaultColdSlack         = 0.0
	DefaultServerHeartbeat   = 1200 * time.Millisecond
	DefaultWorkspaceWeight   = 1.0
	// DefaultMemoryMB is a little less than the memory of the smallest VMs.
	DefaultMemoryMB = 128.0
	// DefaultQuarantineCrashes and DefaultQuarantineTime are the defaults for the
	// quarantine of requests.
	DefaultQuarantineCrashes = 3
	DefaultQuarantineTime    = 10 * time.Minute
)

// DefaultQuarantine returns the quarantine configuration used if the settings file
// has none.
func DefaultQuarantine() poison.Config {
	return poison.Config{CrashLimit: DefaultQuarantineCrashes, Duration: DefaultQuarantineTime}
}

// Range of the quarantine time. The maximum is the longest lease of the store.
const (
	minQuarantine = 10 * time.Second
	maxQuarantine = 10 * time.Minute
)

// bitsPerMegabit converts Mbit/s to bit/s.
const bitsPerMegabit = 1e6

// ReadEdge reads the settings of an edge VM from a file.
func ReadEdge(path string) (*Edge, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	e, err := ParseEdge(data)
	return e, trace.Wrap(err, "%s", path)
}

// ParseEdge parses the settings of an edge VM. The error names the first invalid
// member.
func ParseEdge(data []byte) (*Edge, error) {
	var w edgeWire
	if err := config.Decode(data, &w); err != nil {
		return nil, trace.Wrap(err)
	}
	f := &config.Validator{}
	e := &Edge{
		Name:              ident.VM(f.Name("/name", w.Name)),
		Domain:            ident.FailureDomain(f.Name("/failure-domain", w.Domain)),
		Clients:           f.Address("/callers-address", w.Clients),
		Ready:             f.Address("/ready-address", w.Ready),
		Metrics:           f.Address("/metrics-address", w.Metrics),
		Peers:             f.Address("/peers-address", w.Peers),
		Store:             f.Address("/store-address", w.Store),
		Seeds:             parseSeeds(f, w.Seeds),
		Cores:             f.Float("/processor-cores", w.Cores, DefaultProcessorCores, 0.001, 10_000),
		LinkBitsPerSecond: f.Float("/link-mbit-per-second", w.LinkMbps, DefaultLinkMbps, 0.001, 1e7) * bitsPerMegabit,
		LogLevel:          oneOf(f, "/log-level", w.LogLevel, DefaultLogLevel, logLevels),
		LogLinesPerSecond: f.Int("/log-lines-per-second", w.LogLinesPerSecond, DefaultLogLinesPerSecond, 1, 1_000_000),
		RevokeBound:       f.Duration("/revoke-bound", w.RevokeBound, DefaultRevokeBound, 500*time.Millisecond, time.Hour),
		ApplyBound:        f.Duration("/apply-bound", w.ApplyBound, DefaultApplyBound, 1500*time.Millisecond, time.Hour),
		StopGrace:         f.Duration("/stop-grace", w.StopGrace, DefaultStopGrace, 500*time.Millisecond, time.Hour),
		RetryBudget: RetryBudget{
			Ratio:  f.Float("/retry-budget/ratio", w.RetryBudget.Ratio, DefaultRetryRatio, 0, 10),
			Extra:  f.Float("/retry-budget/extra", w.RetryBudget.Extra, DefaultRetryExtra, 0, 1e6),
			Window: f.Duration("/retry-budget/window", w.RetryBudget.Window, DefaultRetryWindow, 100*time.Millisecond, time.Hour),
		},
		Quarantine: poison.Config{
			CrashLimit: f.Int("/quarantine/crashes", w.Quarantine.Crashes, DefaultQuarantineCrashes, 1, 1000),
			Duration:   f.Duration("/quarantine/time", w.Quarantine.Time, DefaultQuarantineTime, minQuarantine, maxQuarantine),
		},
		Regions: parseRegions(f, w.Regions),
		ColdLimit: ColdLimit{
			Factor: f.Float("/cold-limit/factor", w.ColdLimit.Factor, DefaultColdFactor, 0, 1000),
			Slack:  f.Float("/cold-limit/slack", w.ColdLimit.Slack, DefaultColdSlack, 0, 1e6),
		},
		WorkspaceWeights: parseWeights(f, w.Weights),
		EnginePriorities: w.EnginePriorities,
		Memory:           parseMemory(f, w.MemoryMB),
		Descriptors:      f.Int("/descriptors", w.Descriptors, 0, 0, maxDescriptors),
		ServerHeartbeat:  f.Duration("/server-heartbeat", w.Heartbeat, DefaultServerHeartbeat, 10*time.Millisecond, time.Hour),
	}
	return e, f.Err()
}

// parseRegions parses the regions of the failure domains, in the order of their names.
func parseRegions(f *config.Validator, regions map[string]string) map[ident.FailureDomain]ident.Region {
	out := make(map[ident.FailureDomain]ident.Region, len(regions))
	for _, domain := range slices.Sorted(maps.Keys(regions)) {
		path := "/regions/" + domain
		out[ident.FailureDomain(f.Name(path, domain))] = ident.Region(f.Name(path, regions[domain]))
	}
	return out
}

// Range of the weight of a workspace.
const (
	minWorkspaceWeight = 0.001
	maxWorkspaceWeight = 1000
)

// parseWeights parses the weights of workspaces, in the order of their names.
func parseWeights(f *config.Validator, weights map[string]float64) map[ident.Workspace]float64 {
	out := make(map[ident.Workspace]float64, len(weights))
	for _, name := range slices.Sorted(maps.Keys(weights)) {
		weight := weights[name]
		out[ident.Workspace(name)] = f.Float("/workspace-weights/"+name, &weight, DefaultWorkspaceWeight, minWorkspaceWeight, maxWorkspaceWeight)
	}
	return out
}

// maxDescriptors is the largest limit of descriptors.
const maxDescriptors = 10_000_000

// bytesPerMB converts MB to bytes.
const bytesPerMB = 1e6

// parseMemory parses the memory of a VM. Zero stands for the default, as for a VM whose memory is
// not stated.
func parseMemory(f *config.Validator, mb *float64) int {
	n := f.Float("/memory-mb", mb, DefaultMemoryMB, 0, 1e8)
	if n == 0 {
		n = DefaultMemoryMB
	}
	return int(n * bytesPerMB)
}

// parseSeeds parses the addresses of the seed VMs.
func parseSeeds(f *config.Validator, list []string) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(list))
	for i, text := range list {
		out = append(out, f.Address("/seeds/"+strconv.Itoa(i), text))
	}
	return out
}

// Member describes one member of a settings file, for docs/SETTINGS.md and the
// command-line help.
type Member struct {
	Path    string
	Default string // empty if the member is required
	Help    string
}

// EdgeMembers returns the members of an edge VM's settings.
func EdgeMembers() []Member {
	return []Member{
		{"name", "", "name of this VM"},
		{"failure-domain", "", "failure domain of this VM"},
		{"callers-address", "", "HTTP for clients"},
		{"ready-address", "", "HTTP for the balancer's readiness checks"},
		{"metrics-address", "", "HTTP for metrics and the status"},
		{"peers-address", "", "UDP and HTTP for other VMs"},
		{"store-address", "", "the platform's store"},
		{"seeds", "[]", "peers-addresses of some VMs, for one that knows nobody; they may be out of date"},
		{"processor-cores", formatFloat(DefaultProcessorCores), "share of processor cores that the VM has; those with most work for all others"},
		{"link-mbit-per-second", formatFloat(DefaultLinkMbps), "rate of the VM's link; as for processor-cores"},
		{"log-level", DefaultLogLevel, "debug, info, warn or error"},
		{"log-lines-per-second", strconv.Itoa(DefaultLogLinesPerSecond), "most log lines a second"},
		{"revoke-bound", DefaultRevokeBound.String(), "how long after its end an API key may be served"},
		{"apply-bound", DefaultApplyBound.String(), "how long a change of the settings may take to be in force"},
		{"stop-grace", DefaultStopGrace.String(), "from the signal to stop to the end of the process"},
		{"retry-budget/ratio", formatFloat(DefaultRetryRatio), "sendings beyond the first of each call, over all VMs, as a share of the first ones"},
		{"retry-budget/extra", formatFloat(DefaultRetryExtra), "sendings beyond these in each window"},
		{"retry-budget/window", DefaultRetryWindow.String(), "the window of the retry budget"},
		{"quarantine/crashes", strconv.Itoa(DefaultQuarantineCrashes), "servers that crash while they begin to run a request until it is quarantined"},
		{"quarantine/time", DefaultQuarantineTime.String(), "how long a request is quarantined, and for how long a crash counts against it"},
		{"regions", "{}", "region of each failure domain; calls may be bound to regions"},
		{"cold-limit/factor", formatFloat(DefaultColdFactor), "requests within a second to a server that is cold, over all VMs, as a multiple of the rate that its service states"},
		{"cold-limit/slack", formatFloat(DefaultColdSlack), "requests beyond these"},
		{"server-heartbeat", DefaultServerHeartbeat.String(), "interval at which servers write their entries in the store; an entry lapses after three"},
		{"workspace-weights", "{}", "weights of workspaces that compete for too little capacity, by name; those of all others are 1"},
		{"engine-priorities", "false", "state the priorities of workspaces to engines, which then preempt streams for more urgent calls"},
		{"memory-mb", formatFloat(DefaultMemoryMB), "memory of the VM in MB; 0 stands for the default"},
		{"descriptors", "0", "descriptors that the process may have open, sockets and files; 0, or more than the system allows: as many as it allows"},
	}
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }
