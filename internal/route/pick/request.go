package pick

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/assign"
	"umberladder/internal/policy/pace"
	"umberladder/internal/route/alloc"
	"umberladder/internal/state/srvtab"
)

// Purpose is what capacity is requested for.
type Purpose uint8

// The purposes.
const (
	NewRun    Purpose = iota // a run that starts
	Migration                // a run whose engine is retired or lost
	Backup                   // a copy of a run's KV cache, kept in case its engine is lost
)

// maxFill returns how full an engine may become.
func (p Purpose) maxFill() float64 {
	if p == Backup {
		return assign.MaxCopyFill
	}
	return assign.MaxCallFill
}

// crossDomainCost returns the additional cost of an engine in another failure
// domain.
func (p Purpose) crossDomainCost() float64 {
	if p == NewRun {
		return assign.CrossDomainCallCost
	}
	return assign.CrossDomainCopyCost
}

// transfersAhead returns how many KV caches in transit to an engine precede this
// one. A run that starts transfers none.
func (p Purpose) transfersAhead(l alloc.Load) int {
	if p == NewRun {
		return 0
	}
	return l.CopiesIn
}

// WeightUnit is a weight of 1, in thousandths: that of a workspace for which the settings state
// none.
const WeightUnit = 1000

// Request describes a run that needs capacity.
type Request struct {
	Service      ident.Service
	Purpose      Purpose
	Rank         int                   // 0 is the most urgent
	CurrentRank  func() int            // returns the rank by the settings in force, which may change while the request is queued; nil: Rank does not change
	Need         int                   // memory that the run uses soon, in tokens
	Prefill      int                   // prompt tokens that the engine has to prefill first
	EngineMemory int                   // memory of each engine, in tokens
	From         ident.FailureDomain   // failure domain of the VM for a new run, of the engine otherwise
	Source       ident.Server          // engine whose link transfers the run's KV cache; empty: no transfer
	Exclude      []ident.Server        // servers not to choose
	Unreachable  []ident.Server        // servers that refused a connection for this run just now
	Backup       bool                  // whether a second engine is to keep a copy of the KV cache
	TargetWait   time.Duration         // longest wait for capacity after which the run still starts in time
	MaxWait      time.Duration         // longest wait for capacity
	Domains      []ident.FailureDomain // failure domains that may be chosen; empty: all
	Version      ident.Version         // version of the software that the engine must run, as the stream's events come from it; empty: any
	Reserved     Reserved              // engines that are left to streams that have begun
	ColdLimit    int                   // runs within a second that a server tolerates while it is cold; zero: any number
	ColdTime     time.Duration         // how long a server is cold after its start
	Local        bool                  // decided by the VM that serves the run rather than by the coordinator
	Brief        bool                  // the run usually ends within milliseconds, like a plain call
	Workspace    ident.Workspace       // whose run it is; empty: of a public route
	Subject      uint64                // identifies what the workspace's capacity is divided among: a prompt's first part, or an API key
	Weight       int                   // of the workspace, in thousandths; zero: not known, and no share is applied
	RetryKey     uint64                // equal for a call and its repetitions by the client; zero: none
	Remaining    time.Duration         // until the client gives up, retries included; zero: not known

	Output        int           // tokens that the run is expected to generate; zero: unknown
	GapTarget     time.Duration // target for the time between two events; zero: none
	EventTokens   int           // tokens per event; zero: unknown
	LatencyTarget time.Duration // target for the time to the first event; zero: none
}

// Continues reports whether a stream that has begun needs the capacity.
func (r *Request) Continues() bool { return r.Purpose != NewRun || r.Version != "" }

// mayUse reports whether the run may be placed in a failure domain, at an engine that runs a
// version of the software.
func (r *Request) mayUse(p *srvtab.Pool, version ident.Version) bool {
	return (len(r.Domains) == 0 || slices.Contains(r.Domains, p.Domain)) && (version == "" || p.Version == version)
}

// isReserved reports whether the engines of a pool are left to other runs. A stream that has begun
// yields only to those of its own version.
func (r *Request) isReserved(p *srvtab.Pool) bool {
	if r.Continues() {
		return r.Reserved.hasPool(r.Version, p)
	}
	return r.Reserved.hasPool("", p) || r.Reserved.hasPool(p.Version, p)
}

// Load returns the load of the run at its engine.
func (r *Request) Load() alloc.Load {
	if r.Purpose == Backup {
		return r.BackupLoad()
	}
	l := alloc.Load{Calls: 1, Tokens: r.Need, Backlog: r.Prefill}
	if r.Purpose != NewRun {
		l.CopiesIn = 1
	}
	return l
}

// assignment describes what is placed to the choice of an engine. speeds is what is known of the
// service's engines.
func (r *Request) assignment(purpose Purpose, speeds *pace.View) *assign.Run {
	run := &assign.Run{Required: r.Need, Local: r.Local}
	if purpose == NewRun {
		run.Prefill, run.Output, run.LatencyTarget = r.Prefill, r.Output, r.LatencyTarget
		run.GapTarget, run.EventTokens = speeds.GapTarget, speeds.EventTokens
	}
	return run
}

// BackupLoad returns the load of the copy of the run's KV cache.
func (r *Request) BackupLoad() alloc.Load { return alloc.Load{Tokens: r.Need, CopiesIn: 1} }

// Placement is where a run goes.
type Placement struct {
	Server *srvtab.Server
	Backup *srvtab.Server // keeps a copy of the KV cache; nil: none
	Grant  uint64         // ID of the request that a coordinator granted; zero: decided by the VM that serves the run
}

// ErrNoServer reports that no server of the service accepts work.
var ErrNoServer = errors.New("pick: no server accepts work")

// NoCapacityError reports that every engine is full.
type NoCapacityError struct {
	RetryAfter time.Duration // delay after which capacity is likely
	Ahead      int           // runs queued before this one
	OwnAhead   int           // of these, runs of the same workspace
	Share      int           // of what was granted recently, what the workspace got, in thousandths
	LinkBusy   bool          // the link of the source engine is busy, rather than all engines full
}

func (e *NoCapacityError) Error() string {
	if e.LinkBusy {
		return "pick: another cache is on its way from the engine"
	}
	return fmt.Sprintf("pick: no engine has capacity, %d runs are queued", e.Ahead)
}
