package conf

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/seal"
	"umberladder/internal/route/infer"
	"umberladder/internal/state/config"
)

// Defaults of the optional members.
const (
	DefaultLogLevel            = "info"
	DefaultPlacement           = "predicted"
	DefaultMaxBodyBytes        = 4 << 20
	DefaultMaxHeaderBytes      = 16 << 10
	DefaultMaxResponseBytes    = 16 << 20
	DefaultMaxConns            = 20_000
	DefaultReadTimeout         = 30 * time.Second
	DefaultIdleTimeout         = 90 * time.Second
	DefaultWriteTimeout        = 30 * time.Second
	DefaultConnectTimeout      = time.Second
	DefaultEngineIdleTimeout   = 2 * time.Second
	DefaultLoadInterval        = 250 * time.Millisecond
	DefaultDrainDelay          = 5 * time.Second
	DefaultClaimTTL            = 15 * time.Second
	DefaultStoreCallsPerSecond = 20.0
	DefaultStoreCallBurst      = 40
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
	MaxBodyBytes      *int    `json:"body-bytes,omitzero"`
	MaxHeaderBytes    *int    `json:"header-bytes,omitzero"`
	MaxResponseBytes  *int    `json:"answer-bytes,omitzero"`
	MaxConns          *int    `json:"connections,omitzero"`
	ReadTimeout       *string `json:"request-read,omitzero"`
	IdleTimeout       *string `json:"connection-idle,omitzero"`
	WriteTimeout      *string `json:"caller-stall,omitzero"`
	ConnectTimeout    *string `json:"server-connect,omitzero"`
	EngineIdleTimeout *string `json:"engine-idle,omitzero"`
	LoadInterval      *string `json:"load-interval,omitzero"`
	DrainDelay        *string `json:"drain-delay,omitzero"`
}

type generationWire struct {
	TokenTimeout     *string `json:"patience,omitzero"`
	DetachTimeout    *string `json:"detach,omitzero"`
	ResumeDelay      *string `json:"resume-delay,omitzero"`
	ResumeDelayLimit *string `json:"resume-delay-limit,omitzero"`
	ResumeTries      *int    `json:"resume-tries,omitzero"`
	StartTries       *int    `json:"start-tries,omitzero"`
	FirstTokenPace   *string `json:"first-token-pace,omitzero"`
	TokenPace        *string `json:"token-pace,omitzero"`
}

type storeBudgetWire struct {
	CallsPerSecond *float64 `json:"calls-per-second,omitzero"`
	Burst          *int     `json:"burst,omitzero"`
}

type nodeWire struct {
	Name         string          `json:"name"`
	Domain       string          `json:"failure-domain"`
	Clients      string          `json:"callers-address"`
	Operators    string          `json:"operators-address"`
	Peers        string          `json:"peers-address"`
	Store        string          `json:"store-address"`
	VMList       string          `json:"vm-list-address"`
	Secrets      []secretWire    `json:"key-ring"`
	OperatorKeys []string        `json:"operator-keys,omitzero"`
	ClaimTTL     *string         `json:"claim-lease,omitzero"`
	LogLevel     *string         `json:"log-level,omitzero"`
	Placement    *string         `json:"placement,omitzero"`
	Limits       limitsWire      `json:"limits,omitzero"`
	Generation   generationWire  `json:"generation,omitzero"`
	StoreBudget  storeBudgetWire `json:"store-budget,omitzero"`
	MemoryMB     *float64        `json:"memory-mb,omitzero"`
	Descriptors  *int            `json:"descriptors,omitzero"`
}

func (w *nodeWire) node(f *config.Validator) *Node {
	return &Node{
		Name:         ident.VM(f.Name("/name", w.Name)),
		Domain:       ident.FailureDomain(f.Name("/failure-domain", w.Domain)),
		Clients:      f.Address("/callers-address", w.Clients),
		Operators:    f.Address("/operators-address", w.Operators),
		Peers:        f.Address("/peers-address", w.Peers),
		Store:        f.Address("/store-address", w.Store),
		VMList:       f.Address("/vm-list-address", w.VMList),
		Secrets:      w.secrets(f),
		OperatorKeys: f.Hashes("/operator-keys", w.OperatorKeys),
		ClaimTTL:     f.Duration("/claim-lease", w.ClaimTTL, DefaultClaimTTL, 2*time.Second, 10*time.Minute),
		LogLevel:     oneOf(f, "/log-level", w.LogLevel, DefaultLogLevel, logLevels),
		Placement:    oneOf(f, "/placement", w.Placement, DefaultPlacement, placements),
		Limits:       w.Limits.limits(f),
		Generation:   w.Generation.config(f),
		StoreBudget: StoreBudget{
			CallsPerSecond: f.Float("/store-budget/calls-per-second", w.StoreBudget.CallsPerSecond, DefaultStoreCallsPerSecond, 1, 10_000),
			Burst:          f.Int("/store-budget/burst", w.StoreBudget.Burst, DefaultStoreCallBurst, 1, 100_000),
		},
		Memory:      parseMemory(f, w.MemoryMB),
		Descriptors: f.Int("/descriptors", w.Descriptors, 0, 0, maxDescriptors),
	}
}

func (w *nodeWire) secrets(f *config.Validator) []seal.Secret {
	if len(w.Secrets) == 0 || len(w.Secrets) > seal.MaxSecrets {
		f.Errorf("/key-ring", "want 1 or %d secrets, got %d", seal.MaxSecrets, len(w.Secrets))
	}
	var out []seal.Secret
	for i, s := range w.Secrets {
		path := fmt.Sprintf("/key-ring/%d", i)
		raw, err := hex.DecodeString(s.Secret)
		if err != nil || len(raw) < seal.MinSecret {
			f.Errorf(path+"/secret", "want at least %d bytes in hexadecimal digits", seal.MinSecret)
		}
		id := f.Int(path+"/id", s.ID, 0, 0, 255)
		if slices.ContainsFunc(out, func(o seal.Secret) bool { return int(o.ID) == id }) {
			f.Errorf(path+"/id", "%d is there already", id)
		}
		out = append(out, seal.Secret{ID: uint8(id), Bytes: raw})
	}
	return out
}

func oneOf(f *config.Validator, path string, s *string, def string, list []string) string {
	if s == nil {
		return def
	}
	if !slices.Contains(list, *s) {
		f.Errorf(path, "want one of %s, got %q", strings.Join(list, ", "), *s)
		return def
	}
	return *s
}

func (w *limitsWire) limits(f *config.Validator) Limits {
	const p = "/limits/"
	return Limits{
		MaxBodyBytes:      f.Int(p+"body-bytes", w.MaxBodyBytes, DefaultMaxBodyBytes, 1<<10, 1<<30),
		MaxHeaderBytes:    f.Int(p+"header-bytes", w.MaxHeaderBytes, DefaultMaxHeaderBytes, 1<<10, 1<<20),
		MaxResponseBytes:  f.Int(p+"answer-bytes", w.MaxResponseBytes, DefaultMaxResponseBytes, 1<<10, 1<<30),
		MaxConns:          f.Int(p+"connections", w.MaxConns, DefaultMaxConns, 1, 1_000_000),
		ReadTimeout:       f.Duration(p+"request-read", w.ReadTimeout, DefaultReadTimeout, 10*time.Millisecond, time.Hour),
		IdleTimeout:       f.Duration(p+"connection-idle", w.IdleTimeout, DefaultIdleTimeout, 10*time.Millisecond, time.Hour),
		WriteTimeout:      f.Duration(p+"caller-stall", w.WriteTimeout, DefaultWriteTimeout, 10*time.Millisecond, time.Hour),
		ConnectTimeout:    f.Duration(p+"server-connect", w.ConnectTimeout, DefaultConnectTimeout, time.Millisecond, time.Minute),
		EngineIdleTimeout: f.Duration(p+"engine-idle", w.EngineIdleTimeout, DefaultEngineIdleTimeout, 10*time.Millisecond, 10*time.Minute),
		LoadInterval:      f.Duration(p+"load-interval", w.LoadInterval, DefaultLoadInterval, 10*time.Millisecond, time.Second),
		DrainDelay:        f.Duration(p+"drain-delay", w.DrainDelay, DefaultDrainDelay, 0, 10*time.Minute),
	}
}

func (w *generationWire) config(f *config.Validator) infer.Config {
	const p = "/generation/"
	d := infer.DefaultConfig()
	return infer.Config{
		TokenTimeout:     f.Duration(p+"patience", w.TokenTimeout, d.TokenTimeout, 10*time.Millisecond, time.Hour),
		DetachTimeout:    f.Duration(p+"detach", w.DetachTimeout, d.DetachTimeout, 0, time.Hour),
		ResumeDelay:      f.Duration(p+"resume-delay", w.ResumeDelay, d.ResumeDelay, time.Millisecond, time.Minute),
		ResumeDelayLimit: f.Duration(p+"resume-delay-limit", w.ResumeDelayLimit, d.ResumeDelayLimit, time.Millisecond, time.Minute),
		ResumeTries:      f.Int(p+"resume-tries", w.ResumeTries, d.ResumeTries, 0, 100),
		StartTries:       f.Int(p+"start-tries", w.StartTries, d.StartTries, 1, 100),
		FirstTokenPace:   f.Duration(p+"first-token-pace", w.FirstTokenPace, d.FirstTokenPace, time.Millisecond, time.Minute),
		TokenPace:        f.Duration(p+"token-pace", w.TokenPace, d.TokenPace, time.Millisecond, time.Minute),
	}
}
