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

// Use says what room is wanted for.
type Use uint8

// The uses.
const (
	Call Use = iota // a run that begins
	Move            // a run whose engine leaves or is lost
	Keep            // a copy of a run's cache, kept in case its engine is lost
)

// share returns how full an engine may become.
func (u Use) share() float64 {
	if u == Keep {
		return assign.Spare
	}
	return assign.Full
}

// far returns the weight of the way to another failure domain.
func (u Use) far() float64 {
	if u == Call {
		return assign.FarCall
	}
	return assign.FarCopy
}

// behind returns how many caches under way to an engine go before this one; a
// run that begins brings none.
func (u Use) behind(l seats.Load) int {
	if u == Call {
		return 0
	}
	return l.Copies
}

// Want describes a run that needs room.
type Want struct {
	Service ident.Service
	Use     Use
	Rank    int            // 0: the most urgent
	Need    int            // memory that the run takes soon, in tokens
	Read    int            // prompt tokens that the engine has to read first
	Memory  int            // of each engine, in tokens
	From    ident.Domain   // failure domain of the VM for a call, of the engine for others
	Source  ident.Server   // engine whose link carries the run's cache; empty: none has to
	Skip    []ident.Server // not to be chosen
	Failed  []ident.Server // that could not be connected to for this run just now
	Backup  bool           // a second engine is to keep a copy of the cache
	Due     time.Duration  // how long the run may wait for room and still begin in time
	Wait    time.Duration  // how long it may wait at all
	Mark    uint64         // the same for a request and its repetition by the client; zero: none
}

// Load returns what the run takes at its engine.
func (w *Want) Load() seats.Load {
	if w.Use == Keep {
		return w.BackupLoad()
	}
	l := seats.Load{Seats: 1, Tokens: w.Need, Backlog: w.Read}
	if w.Use != Call {
		l.Copies = 1
	}
	return l
}

// BackupLoad returns what the copy of the run's cache takes.
func (w *Want) BackupLoad() seats.Load { return seats.Load{Tokens: w.Need, Copies: 1} }

// Spot is where a run goes.
type Spot struct {
	Server *backs.Server
	Backup *backs.Server // keeps a copy of the cache; nil: none
}

// ErrNoServer says that no server of the service takes work.
var ErrNoServer = errors.New("pick: no server takes work")

// NoRoomError says that every engine is full.
type NoRoomError struct {
	Retry time.Duration // when there is likely to be room
	Ahead int           // runs that wait for room before this one
	Link  bool          // it is the link of the run's engine that is taken
}

func (e *NoRoomError) Error() string {
	if e.Link {
		return "pick: another cache is on its way from the engine"
	}
	return fmt.Sprintf("pick: no engine has room, %d wait for it", e.Ahead)
}
