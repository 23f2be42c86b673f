package config

import (
	"net/netip"
	"time"

	"umberladder/internal/core/ident"
)

// Kind is the kind of backend that serves a service.
type Kind uint8

// The kinds of services.
const (
	ModelService Kind = iota // a model of the system, on model engines
	PlainService             // the team's own HTTP servers
)

// Objective is the measure that a service optimises.
type Objective uint8

// The objectives.
const (
	StallTime   Objective = iota // short waits, before and between tokens
	Preemptions                  // few preemptions and low tail latency between tokens
)

// KeyHash is the SHA-256 of a key. Keys themselves are never stored.
type KeyHash [32]byte

// Server is one backend server.
type Server struct {
	Name    ident.Server
	Address netip.AddrPort
	Domain  ident.FailureDomain
	Fencing bool // the server refuses commands with an outdated fencing number
	// TokensPerSecond is the generation rate at full load; zero: unknown.
	TokensPerSecond int
}

// Model is a model that any workspace's services may use.
type Model struct {
	Name    ident.Model
	Servers []Server
}

// Class is a priority class. Requests of rank 0 are served first. All others are
// ordered by deadline, which is the arrival time plus MaxWait.
type Class struct {
	Name    ident.Class
	Rank    int
	MaxWait time.Duration // longest wait for capacity on an engine
	Reserve float64       // share of engine memory that lower classes must leave free
}

// Limits bounds the usage of one workspace over all VMs.
type Limits struct {
	Concurrency     int // open requests
	TokensPerSecond int // generated tokens; zero: no limit
}

// System is the document at /system.
type System struct {
	Version   uint64
	Operators []KeyHash
	Classes   []Class
	Models    []Model
}

// Service is one service of a workspace.
type Service struct {
	Name           ident.Service
	Kind           Kind
	Model          ident.Model // of a model service
	Servers        []Server    // of a plain service
	Class          ident.Class // for calls that name no class
	Objective      Objective
	OverflowChance float64       // bound on the probability that an engine's memory overflows
	AtMostOnce     bool          // calls must not be retried, whatever their method
	Timeout        time.Duration // of a plain call
}

// Workspace is the document at /workspaces/<name>.
type Workspace struct {
	Name      ident.Workspace
	Version   uint64
	Keys      []KeyHash // of clients
	Operators []KeyHash // of the workspace's operators
	Services  []Service
	Limits    Limits
}

// Service returns the named service, or nil.
func (w *Workspace) Service(name ident.Service) *Service {
	for i := range w.Services {
		if w.Services[i].Name == name {
			return &w.Services[i]
		}
	}
	return nil
}

// Class returns the named class, or nil.
func (s *System) Class(name ident.Class) *Class {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return &s.Classes[i]
		}
	}
	return nil
}

// Model returns the named model, or nil.
func (s *System) Model(name ident.Model) *Model {
	for i := range s.Models {
		if s.Models[i].Name == name {
			return &s.Models[i]
		}
	}
	return nil
}
