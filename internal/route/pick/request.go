package pick

import (
	"errors"
	"fmt"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/assign"
	"umberladder/internal/route/seats"
	"umberladder/internal/state/backs"
)

// Purpose is what capacity is requested for.
type Use uint8

// The purposes.
const (
	Call Use = iota // a run that starts
	Move            // a run whose engine is retired or lost
	Keep            // a copy of a run's KV cache, kept in case its engine is lost
)

// maxFill returns how full an engine may become.
func (p Use) maxFill() float64 {
	if p == Keep {
		return assign.Spare
	}
	return assign.Full
}

// crossDomainWeight returns the cost weight of an engine in another failure
// domain.
func (p Use) crossDomainWeight() float64 {
	if p == Call {
		return assign.FarCall
	}
	return assign.FarCopy
}

// transfersAhead returns how many KV caches in transit to an engine precede this
// one. A run that starts transfers none.
func (p Use) transfersAhead(l seats.Load) int {
	if p == Call {
		return 0
	}
	return l.Copies
}

// Request describes a run that needs capacity.
type Want struct {
	Service ident.Service
	Use     Use
	Rank    int            // 0 is the most urgent
	Need    int            // memory that the run uses soon, in tokens
	Read    int            // prompt tokens that the engine has to prefill first
	Memory  int            // memory of each engine, in tokens
	From    ident.Domain   // failure domain of the VM for a new run, of the engine otherwise
	Source  ident.Server   // engine whose link transfers the run's KV cache; empty: no transfer
	Skip    []ident.Server // servers not to choose
	Failed  []ident.Server // servers that refused a connection for this run just now
	Backup  bool           // whether a second engine is to keep a copy of the KV cache
	Due     time.Duration  // longest wait for capacity after which the run still starts in time
	Wait    time.Duration  // longest wait for capacity
	Mark    uint64         // equal for a call and its repetitions by the client; zero: none
}

// Load returns the load of the run at its engine.
func (r *Want) Load() seats.Load {
	if r.Use == Keep {
		return r.BackupLoad()
	}
	l := seats.Load{Seats: 1, Tokens: r.Need, Backlog: r.Read}
	if r.Use != Call {
		l.Copies = 1
	}
	return l
}

// BackupLoad returns the load of the copy of the run's KV cache.
func (r *Want) BackupLoad() seats.Load { return seats.Load{Tokens: r.Need, Copies: 1} }

// Placement is where a run goes.
type Spot struct {
	Server *backs.Server
	Backup *backs.Server // keeps a copy of the KV cache; nil: none
}

// ErrNoServer reports that no server of the service accepts work.
var ErrNoServer = errors.New("pick: no server accepts work")

// NoCapacityError reports that every engine is full.
type NoRoomError struct {
	Retry    time.Duration // delay after which capacity is likely
	Ahead    int           // runs queued before this one
	LinkBusy bool          // the link of the source engine is busy, rather than all engines full
}

func (e *NoRoomError) Error() string {
	if e.LinkBusy {
		return "pick: another cache is on its way from the engine"
	}
	return fmt.Sprintf("pick: no engine has capacity, %d runs are queued", e.Ahead)
}
