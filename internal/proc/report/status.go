package report

import (
	"cmp"
	"slices"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/pace"
	"umberladder/internal/policy/timing"
	"umberladder/internal/route/coord"
)

// MaxEntries is the maximum number of entries in each list of a status.
const MaxEntries = 100

// List is the first MaxEntries entries of a list.
type List[T any] struct {
	Entries []T
	LeftOut int // number of further entries
}

// Cut returns the first MaxEntries entries of a list.
func Cut[T any](entries []T) List[T] {
	n := min(len(entries), MaxEntries)
	return List[T]{Entries: entries[:n], LeftOut: len(entries) - n}
}

// Status is the state of an edge VM.
type Status struct {
	VM              ident.VM
	Domain          ident.FailureDomain
	SettingsVersion uint64 // version of the settings in force; zero: there are none
	Services        List[Service]
}

// Service is what a VM knows of one service.
type Service struct {
	Name        ident.Service
	Coordinator ident.VM // VM that is asked first to place runs; empty: none is known
	Coordinates bool     // this VM is the coordinator

	Waiting    int               // runs queued at this VM
	Workspaces List[coord.Limit] // workspaces with queued runs here, and those limited to their shares here
	Borrowed   List[coord.Limit] // workspaces that got more than they are entitled to while others waited
	Lent       List[coord.Limit] // workspaces that got less

	Engines        List[pace.Speed] // engines whose time per token is known
	MedianPerToken time.Duration    // zero: not known

	PlainServers   List[timing.ServerStatus]
	MedianResponse time.Duration // of the mean response times of the plain servers; zero: not known
}

// SetQueues sets what is queued at this VM.
func (s *Service) SetQueues(q coord.QueueStatus) {
	s.Waiting, s.Workspaces, s.Borrowed, s.Lent = q.Waiting, Cut(q.Workspaces), Cut(q.Borrowed), Cut(q.Lent)
}

// SetEngines sets the engines and their median time per token: the slow ones first, then by
// descending time per token.
func (s *Service) SetEngines(engines []pace.Speed, median time.Duration) {
	slices.SortFunc(engines, func(a, b pace.Speed) int {
		return cmp.Or(slowFirst(a.Slow, b.Slow), cmp.Compare(b.PerToken, a.PerToken), cmp.Compare(a.Server, b.Server))
	})
	s.Engines, s.MedianPerToken = Cut(engines), median
}

// SetPlainServers sets the plain servers and the median of their response times: the slow ones
// first, then by ascending weight and descending calls in flight.
func (s *Service) SetPlainServers(servers []timing.ServerStatus, median time.Duration) {
	slices.SortFunc(servers, func(a, b timing.ServerStatus) int {
		return cmp.Or(slowFirst(a.Slow, b.Slow), cmp.Compare(a.Weight, b.Weight), cmp.Compare(b.InFlight, a.InFlight), cmp.Compare(a.Server, b.Server))
	})
	s.PlainServers, s.MedianResponse = Cut(servers), median
}

// slowFirst orders slow servers before the others.
func slowFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
