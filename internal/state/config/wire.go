package config

import (
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"umberladder/internal/core/ident"
)

// Bounds and defaults of the documents; docs/SETTINGS.md lists them.
const (
	DefaultMaxWait = 30 * time.Second
	MaxMaxWait     = time.Hour
	// A service that cares for short stalls lets more in than one that cares
	// for few preemptions; docs/design/05-admission.md has the figures.
	DefaultOverflowStall   = 0.3
	DefaultOverflowPreempt = 0.05
	DefaultConcurrency     = 64
	MaxConcurrency         = 1_000_000
	MaxTokenRate           = 100_000_000
	DefaultTimeout         = 30 * time.Second
	MaxTimeout             = 10 * time.Minute
	MaxRank                = 15
)

type serverWire struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"failure-domain"`
	Fencing bool   `json:"checks-fencing,omitzero"`
	Rate    *int   `json:"tokens-per-second,omitzero"`
}

type modelWire struct {
	Name    string       `json:"name"`
	Servers []serverWire `json:"servers"`
}

type classWire struct {
	Name    string   `json:"name"`
	Rank    *int     `json:"rank"`
	MaxWait *string  `json:"max-wait,omitzero"`
	Reserve *float64 `json:"reserve,omitzero"`
}

type systemWire struct {
	Operators []string    `json:"operator-keys,omitzero"`
	Classes   []classWire `json:"classes"`
	Models    []modelWire `json:"models"`
}

type limitsWire struct {
	Concurrency     *int `json:"concurrency,omitzero"`
	TokensPerSecond *int `json:"tokens-per-second,omitzero"`
}

type serviceWire struct {
	Name       string       `json:"name"`
	Kind       string       `json:"kind"`
	Model      string       `json:"model,omitzero"`
	Servers    []serverWire `json:"servers,omitzero"`
	Class      string       `json:"class"`
	Objective  string       `json:"objective,omitzero"`
	Overflow   *float64     `json:"overflow-chance,omitzero"`
	AtMostOnce bool         `json:"at-most-once,omitzero"`
	Timeout    *string      `json:"timeout,omitzero"`
}

type workspaceWire struct {
	Keys      []string      `json:"caller-keys"`
	Operators []string      `json:"operator-keys,omitzero"`
	Services  []serviceWire `json:"services"`
	Limits    limitsWire    `json:"limits,omitzero"`
}

// ParseSystem reads the document at /system.
func ParseSystem(data []byte, version uint64) (*System, error) {
	var w systemWire
	if err := Decode(data, &w); err != nil {
		return nil, trace.Wrap(err)
	}
	f := &Fields{}
	s := &System{Version: version, Operators: f.Hashes("/operator-keys", w.Operators)}
	for i, c := range w.Classes {
		s.Classes = append(s.Classes, f.class(fmt.Sprintf("/classes/%d", i), c))
	}
	if len(w.Classes) == 0 {
		f.Fault("/classes", "want at least one class")
	}
	for i, m := range w.Models {
		path := fmt.Sprintf("/models/%d", i)
		s.Models = append(s.Models, Model{
			Name:    ident.Model(f.Name(path+"/name", m.Name)),
			Servers: f.servers(path+"/servers", m.Servers),
		})
	}
	unique(f, "/classes", s.Classes, func(c Class) string { return string(c.Name) })
	unique(f, "/models", s.Models, func(m Model) string { return string(m.Name) })
	return s, f.Err()
}

// ParseWorkspace reads the document at /workspaces/<name>.
func ParseWorkspace(name ident.Workspace, data []byte, version uint64) (*Workspace, error) {
	var w workspaceWire
	if err := Decode(data, &w); err != nil {
		return nil, trace.Wrap(err)
	}
	f := &Fields{}
	ws := &Workspace{
		Name:      name,
		Version:   version,
		Keys:      f.Hashes("/caller-keys", w.Keys),
		Operators: f.Hashes("/operator-keys", w.Operators),
		Limits: Limits{
			Concurrency:     f.Int("/limits/concurrency", w.Limits.Concurrency, DefaultConcurrency, 1, MaxConcurrency),
			TokensPerSecond: f.Int("/limits/tokens-per-second", w.Limits.TokensPerSecond, 0, 0, MaxTokenRate),
		},
	}
	if len(w.Keys) == 0 {
		f.Fault("/caller-keys", "want at least one key hash")
	}
	for i, s := range w.Services {
		ws.Services = append(ws.Services, f.service(fmt.Sprintf("/services/%d", i), s))
	}
	unique(f, "/services", ws.Services, func(s Service) string { return string(s.Name) })
	return ws, f.Err()
}

func (f *Fields) class(path string, w classWire) Class {
	if w.Rank == nil {
		f.Fault(path+"/rank", "missing; want a whole number from 0 to %d", MaxRank)
	}
	return Class{
		Name:    ident.Class(f.Name(path+"/name", w.Name)),
		Rank:    f.Int(path+"/rank", w.Rank, 0, 0, MaxRank),
		MaxWait: f.Duration(path+"/max-wait", w.MaxWait, DefaultMaxWait, time.Millisecond, MaxMaxWait),
		Reserve: f.Float(path+"/reserve", w.Reserve, 0, 0, 0.9),
	}
}

func (f *Fields) servers(path string, list []serverWire) []Server {
	out := make([]Server, 0, len(list))
	for i, w := range list {
		p := fmt.Sprintf("%s/%d", path, i)
		out = append(out, Server{
			Name:    ident.Server(f.Name(p+"/name", w.Name)),
			Address: f.Address(p+"/address", w.Address),
			Domain:  ident.Domain(f.Name(p+"/failure-domain", w.Domain)),
			Fencing: w.Fencing,

			TokensPerSecond: f.Int(p+"/tokens-per-second", w.Rate, 0, 0, MaxTokenRate),
		})
	}
	unique(f, path, out, func(s Server) string { return string(s.Name) })
	return out
}

func (f *Fields) service(path string, w serviceWire) Service {
	s := Service{
		Name:       ident.Service(f.Name(path+"/name", w.Name)),
		Class:      ident.Class(f.Name(path+"/class", w.Class)),
		AtMostOnce: w.AtMostOnce,
		Timeout:    f.Duration(path+"/timeout", w.Timeout, DefaultTimeout, time.Millisecond, MaxTimeout),
	}
	overflow := DefaultOverflowStall
	switch w.Objective {
	case "", "stall-time":
		s.Objective = StallTime
	case "preemptions":
		s.Objective = Preemptions
		overflow = DefaultOverflowPreempt
	default:
		f.Fault(path+"/objective", "want \"stall-time\" or \"preemptions\", got %q", w.Objective)
	}
	s.OverflowChance = f.Float(path+"/overflow-chance", w.Overflow, overflow, 1e-6, 0.5)
	f.backing(path, w, &s)
	return s
}

func (f *Fields) backing(path string, w serviceWire, s *Service) {
	switch w.Kind {
	case "model":
		s.Model = ident.Model(f.Name(path+"/model", w.Model))
		if len(w.Servers) > 0 {
			f.Fault(path+"/servers", "a model service takes its servers from the model")
		}
	case "plain":
		s.Kind = PlainService
		s.Servers = f.servers(path+"/servers", w.Servers)
		if w.Model != "" {
			f.Fault(path+"/model", "a plain service has servers of its own, not a model")
		}
	default:
		f.Fault(path+"/kind", "want \"model\" or \"plain\", got %q", w.Kind)
	}
}

func unique[T any](f *Fields, path string, list []T, key func(T) string) {
	seen := make(map[string]bool, len(list))
	for i, v := range list {
		k := key(v)
		if seen[k] {
			f.Fault(fmt.Sprintf("%s/%d/name", path, i), "%q is there already", k)
		}
		seen[k] = true
	}
}
