package conf

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/seal"
	"umberladder/internal/route/gener"
	"umberladder/internal/state/config"
)

// Defaults of the members that may be left out.
const (
	DefaultLogLevel     = "info"
	DefaultPlacement    = "predicted"
	DefaultBody         = 4 << 20
	DefaultHeader       = 16 << 10
	DefaultAnswer       = 16 << 20
	DefaultConnections  = 20_000
	DefaultRead         = 30 * time.Second
	DefaultIdle         = 90 * time.Second
	DefaultCallerStall  = 30 * time.Second
	DefaultConnect      = time.Second
	DefaultEngineIdle   = 2 * time.Second
	DefaultLoadInterval = 250 * time.Millisecond
	DefaultDrainDelay   = 5 * time.Second
	DefaultClaimTTL     = 15 * time.Second
	DefaultCalls        = 20.0
	DefaultBurst        = 40
)

var (
	logLevels  = []string{"debug", "info", "warn", "error"}
	placements = []string{"predicted", "round-robin", "least-load", "two-choices"}
)

type secretWire struct {
	ID     *int   `json:"id"`
	Secret string `json:"secret"`
}

type limitsWire struct {
	Body         *int    `json:"body-bytes,omitzero"`
	Header       *int    `json:"header-bytes,omitzero"`
	Answer       *int    `json:"answer-bytes,omitzero"`
	Connections  *int    `json:"connections,omitzero"`
	Read         *string `json:"request-read,omitzero"`
	Idle         *string `json:"connection-idle,omitzero"`
	CallerStall  *string `json:"caller-stall,omitzero"`
	Connect      *string `json:"server-connect,omitzero"`
	EngineIdle   *string `json:"engine-idle,omitzero"`
	LoadInterval *string `json:"load-interval,omitzero"`
	DrainDelay   *string `json:"drain-delay,omitzero"`
}

type generateWire struct {
	Patience   *string `json:"patience,omitzero"`
	Detach     *string `json:"detach,omitzero"`
	ResumeBase *string `json:"resume-delay,omitzero"`
	ResumeMax  *string `json:"resume-delay-limit,omitzero"`
	ResumeTry  *int    `json:"resume-tries,omitzero"`
	StartTry   *int    `json:"start-tries,omitzero"`
	FirstPace  *string `json:"first-token-pace,omitzero"`
	TokenPace  *string `json:"token-pace,omitzero"`
}

type budgetWire struct {
	PerSecond *float64 `json:"calls-per-second,omitzero"`
	Burst     *int     `json:"burst,omitzero"`
}

type nodeWire struct {
	Name      string       `json:"name"`
	Domain    string       `json:"failure-domain"`
	Callers   string       `json:"callers-address"`
	Operators string       `json:"operators-address"`
	Peers     string       `json:"peers-address"`
	Store     string       `json:"store-address"`
	VMList    string       `json:"vm-list-address"`
	Secrets   []secretWire `json:"key-ring"`
	Operator  []string     `json:"operator-keys,omitzero"`
	ClaimTTL  *string      `json:"claim-lease,omitzero"`
	LogLevel  *string      `json:"log-level,omitzero"`
	Placement *string      `json:"placement,omitzero"`
	Limits    limitsWire   `json:"limits,omitzero"`
	Generate  generateWire `json:"generation,omitzero"`
	Budget    budgetWire   `json:"store-budget,omitzero"`
}

func (w *nodeWire) node(f *config.Fields) *Node {
	return &Node{
		Name:      ident.VM(f.Name("/name", w.Name)),
		Domain:    ident.Domain(f.Name("/failure-domain", w.Domain)),
		Callers:   f.Address("/callers-address", w.Callers),
		Operators: f.Address("/operators-address", w.Operators),
		Peers:     f.Address("/peers-address", w.Peers),
		Store:     f.Address("/store-address", w.Store),
		VMList:    f.Address("/vm-list-address", w.VMList),
		Secrets:   w.secrets(f),
		OperKeys:  f.Hashes("/operator-keys", w.Operator),
		ClaimTTL:  f.Duration("/claim-lease", w.ClaimTTL, DefaultClaimTTL, 2*time.Second, 10*time.Minute),
		LogLevel:  oneOf(f, "/log-level", w.LogLevel, DefaultLogLevel, logLevels),
		Placement: oneOf(f, "/placement", w.Placement, DefaultPlacement, placements),
		Limits:    w.Limits.limits(f),
		Generate:  w.Generate.config(f),
		Budget: Budget{
			PerSecond: f.Float("/store-budget/calls-per-second", w.Budget.PerSecond, DefaultCalls, 1, 10_000),
			Burst:     f.Int("/store-budget/burst", w.Budget.Burst, DefaultBurst, 1, 100_000),
		},
	}
}

func (w *nodeWire) secrets(f *config.Fields) []seal.Secret {
	if len(w.Secrets) == 0 || len(w.Secrets) > seal.MaxSecrets {
		f.Fault("/key-ring", "want 1 or %d secrets, got %d", seal.MaxSecrets, len(w.Secrets))
	}
	var out []seal.Secret
	for i, s := range w.Secrets {
		path := fmt.Sprintf("/key-ring/%d", i)
		raw, err := hex.DecodeString(s.Secret)
		if err != nil || len(raw) < seal.MinSecret {
			f.Fault(path+"/secret", "want at least %d bytes in hexadecimal digits", seal.MinSecret)
		}
		id := f.Int(path+"/id", s.ID, 0, 0, 255)
		if slices.ContainsFunc(out, func(o seal.Secret) bool { return int(o.ID) == id }) {
			f.Fault(path+"/id", "%d is there already", id)
		}
		out = append(out, seal.Secret{ID: uint8(id), Bytes: raw})
	}
	return out
}

func oneOf(f *config.Fields, path string, s *string, def string, list []string) string {
	if s == nil {
		return def
	}
	if !slices.Contains(list, *s) {
		f.Fault(path, "want one of %s, got %q", strings.Join(list, ", "), *s)
		return def
	}
	return *s
}

func (w *limitsWire) limits(f *config.Fields) Limits {
	const p = "/limits/"
	return Limits{
		Body:         f.Int(p+"body-bytes", w.Body, DefaultBody, 1<<10, 1<<30),
		Header:       f.Int(p+"header-bytes", w.Header, DefaultHeader, 1<<10, 1<<20),
		Answer:       f.Int(p+"answer-bytes", w.Answer, DefaultAnswer, 1<<10, 1<<30),
		Connections:  f.Int(p+"connections", w.Connections, DefaultConnections, 1, 1_000_000),
		Read:         f.Duration(p+"request-read", w.Read, DefaultRead, 10*time.Millisecond, time.Hour),
		Idle:         f.Duration(p+"connection-idle", w.Idle, DefaultIdle, 10*time.Millisecond, time.Hour),
		CallerStall:  f.Duration(p+"caller-stall", w.CallerStall, DefaultCallerStall, 10*time.Millisecond, time.Hour),
		Connect:      f.Duration(p+"server-connect", w.Connect, DefaultConnect, time.Millisecond, time.Minute),
		EngineIdle:   f.Duration(p+"engine-idle", w.EngineIdle, DefaultEngineIdle, 10*time.Millisecond, 10*time.Minute),
		LoadInterval: f.Duration(p+"load-interval", w.LoadInterval, DefaultLoadInterval, 10*time.Millisecond, time.Second),
		DrainDelay:   f.Duration(p+"drain-delay", w.DrainDelay, DefaultDrainDelay, 0, 10*time.Minute),
	}
}

func (w *generateWire) config(f *config.Fields) gener.Config {
	const p = "/generation/"
	d := gener.DefaultConfig()
	return gener.Config{
		Patience:   f.Duration(p+"patience", w.Patience, d.Patience, 10*time.Millisecond, time.Hour),
		Detach:     f.Duration(p+"detach", w.Detach, d.Detach, 0, time.Hour),
		ResumeBase: f.Duration(p+"resume-delay", w.ResumeBase, d.ResumeBase, time.Millisecond, time.Minute),
		ResumeMax:  f.Duration(p+"resume-delay-limit", w.ResumeMax, d.ResumeMax, time.Millisecond, time.Minute),
		ResumeTry:  f.Int(p+"resume-tries", w.ResumeTry, d.ResumeTry, 0, 100),
		StartTry:   f.Int(p+"start-tries", w.StartTry, d.StartTry, 1, 100),
		FirstPace:  f.Duration(p+"first-token-pace", w.FirstPace, d.FirstPace, time.Millisecond, time.Minute),
		TokenPace:  f.Duration(p+"token-pace", w.TokenPace, d.TokenPace, time.Millisecond, time.Minute),
	}
}
