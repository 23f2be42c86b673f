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
	// A service with the objective of short stalls admits more calls than one with
	// that of few preemptions; docs/design/05-admission.md has the figures.
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

// ParseSystem parses the document at /system.
func ParseSystem(data []byte, version uint64) (*System, error) {
	var w systemWire
	if err := Decode(data, &w); err != nil {
		return nil, trace.Wrap(err)
	}
	v := &Validator{}
	s := &System{Version: version, Operators: v.Hashes("/operator-keys", w.Operators)}
	for i, c := range w.Classes {
		s.Classes = append(s.Classes, v.parseClass(fmt.Sprintf("/classes/%d", i), c))
	}
	if len(w.Classes) == 0 {
		v.Errorf("/classes", "want at least one class")
	}
	for i, m := range w.Models {
		path := fmt.Sprintf("/models/%d", i)
		s.Models = append(s.Models, Model{
			Name:    ident.Model(v.Name(path+"/name", m.Name)),
			Servers: v.parseServers(path+"/servers", m.Servers),
		})
	}
	checkUnique(v, "/classes", s.Classes, func(c Class) string { return string(c.Name) })
	checkUnique(v, "/models", s.Models, func(m Model) string { return string(m.Name) })
	return s, v.Err()
}

// ParseWorkspace parses the document at /workspaces/<name>.
func ParseWorkspace(name ident.Workspace, data []byte, version uint64) (*Workspace, error) {
	var w workspaceWire
	if err := Decode(data, &w); err != nil {
		return nil, trace.Wrap(err)
	}
	v := &Validator{}
	ws := &Workspace{
		Name:      name,
		Version:   version,
		Keys:      v.Hashes("/caller-keys", w.Keys),
		Operators: v.Hashes("/operator-keys", w.Operators),
		Limits: Limits{
			Concurrency:     v.Int("/limits/concurrency", w.Limits.Concurrency, DefaultConcurrency, 1, MaxConcurrency),
			TokensPerSecond: v.Int("/limits/tokens-per-second", w.Limits.TokensPerSecond, 0, 0, MaxTokenRate),
		},
	}
	if len(w.Keys) == 0 {
		v.Errorf("/caller-keys", "want at least one key hash")
	}
	for i, s := range w.Services {
		ws.Services = append(ws.Services, v.parseService(fmt.Sprintf("/services/%d", i), s))
	}
	checkUnique(v, "/services", ws.Services, func(s Service) string { return string(s.Name) })
	return ws, v.Err()
}

func (v *Validator) parseClass(path string, w classWire) Class {
	if w.Rank == nil {
		v.Errorf(path+"/rank", "missing; want a whole number from 0 to %d", MaxRank)
	}
	return Class{
		Name:    ident.Class(v.Name(path+"/name", w.Name)),
		Rank:    v.Int(path+"/rank", w.Rank, 0, 0, MaxRank),
		MaxWait: v.Duration(path+"/max-wait", w.MaxWait, DefaultMaxWait, time.Millisecond, MaxMaxWait),
		Reserve: v.Float(path+"/reserve", w.Reserve, 0, 0, 0.9),
	}
}

func (v *Validator) parseServers(path string, list []serverWire) []Server {
	out := make([]Server, 0, len(list))
	for i, w := range list {
		p := fmt.Sprintf("%s/%d", path, i)
		out = append(out, Server{
			Name:    ident.Server(v.Name(p+"/name", w.Name)),
			Address: v.Address(p+"/address", w.Address),
			Domain:  ident.FailureDomain(v.Name(p+"/failure-domain", w.Domain)),
			Fencing: w.Fencing,

			TokensPerSecond: v.Int(p+"/tokens-per-second", w.Rate, 0, 0, MaxTokenRate),
		})
	}
	checkUnique(v, path, out, func(s Server) string { return string(s.Name) })
	return out
}

func (v *Validator) parseService(path string, w serviceWire) Service {
	s := Service{
		Name:       ident.Service(v.Name(path+"/name", w.Name)),
		Class:      ident.Class(v.Name(path+"/class", w.Class)),
		AtMostOnce: w.AtMostOnce,
		Timeout:    v.Duration(path+"/timeout", w.Timeout, DefaultTimeout, time.Millisecond, MaxTimeout),
	}
	overflow := DefaultOverflowStall
	switch w.Objective {
	case "", "stall-time":
		s.Objective = StallTime
	case "preemptions":
		s.Objective = Preemptions
		overflow = DefaultOverflowPreempt
	default:
		v.Errorf(path+"/objective", "want \"stall-time\" or \"preemptions\", got %q", w.Objective)
	}
	s.OverflowChance = v.Float(path+"/overflow-chance", w.Overflow, overflow, 1e-6, 0.5)
	v.parseBackend(path, w, &s)
	return s
}

func (v *Validator) parseBackend(path string, w serviceWire, s *Service) {
	switch w.Kind {
	case "model":
		s.Model = ident.Model(v.Name(path+"/model", w.Model))
		if len(w.Servers) > 0 {
			v.Errorf(path+"/servers", "a model service takes its servers from the model")
		}
	case "plain":
		s.Kind = PlainService
		s.Servers = v.parseServers(path+"/servers", w.Servers)
		if w.Model != "" {
			v.Errorf(path+"/model", "a plain service has servers of its own, not a model")
		}
	default:
		v.Errorf(path+"/kind", "want \"model\" or \"plain\", got %q", w.Kind)
	}
}

func checkUnique[T any](v *Validator, path string, list []T, key func(T) string) {
	seen := make(map[string]bool, len(list))
	for i, item := range list {
		k := key(item)
		if seen[k] {
			v.Errorf(fmt.Sprintf("%s/%d/name", path, i), "%q is there already", k)
		}
		seen[k] = true
	}
}
