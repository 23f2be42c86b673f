package coord

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/fair"
)

// balanceMargin is the fraction of its entitled share by which what a workspace got has to differ
// from it for the workspace to count as a borrower or a lender. Calls are granted whole, so that
// small differences are always there.
const balanceMargin = 0.1

// QueueStatus is the state of a service's queues at this VM. The zero value means that no runs
// have been placed here.
type QueueStatus struct {
	Waiting int // queued runs, also those whose workspaces are not known
	// Workspaces has those with queued runs and those that are limited to their shares: the limited
	// ones first, then by the number of queued runs.
	Workspaces []Limit
	// Borrowed and Lent have the workspaces that got more and less of what was granted recently than
	// they are entitled to, the largest difference first. They are empty if Workspaces is, because
	// shares apply only while runs wait.
	Borrowed, Lent []Limit
}

// Status returns the state of a service's queues. The lists have no limit but the number of
// workspaces.
func (c *Coordinator) Status(s ident.Service, now time.Time) QueueStatus {
	copied := c.copyQueues(s, now)
	out := QueueStatus{Waiting: copied.waiting}
	if len(copied.queued) == 0 && len(copied.limited) == 0 {
		return out
	}
	usages := make(map[ident.Workspace]Limit, len(copied.usages))
	for _, u := range copied.usages {
		l := copied.limit(s, u.Key)
		l.Share, l.Entitled = u.Share, u.Entitled
		usages[u.Key] = l
		switch difference := l.Share - l.Entitled; {
		case difference > balanceMargin*l.Entitled:
			out.Borrowed = append(out.Borrowed, l)
		case difference < -balanceMargin*l.Entitled:
			out.Lent = append(out.Lent, l)
		}
	}
	for w := range copied.limited {
		copied.queued[w] += 0 // also those without queued runs
	}
	for w := range copied.queued {
		l, ok := usages[w]
		if !ok {
			l = copied.limit(s, w) // it has no calls that count any more, or there are too many workspaces
		}
		out.Workspaces = append(out.Workspaces, l)
	}
	slices.SortFunc(out.Workspaces, func(a, b Limit) int {
		return cmp.Or(compareBool(b.Limited, a.Limited), cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(a.Workspace, b.Workspace))
	})
	slices.SortFunc(out.Borrowed, func(a, b Limit) int { return compareBalance(b, a) })
	slices.SortFunc(out.Lent, compareBalance)
	return out
}

// WaitingRuns returns the number of queued runs of each service that has any.
func (c *Coordinator) WaitingRuns() map[ident.Service]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[ident.Service]int)
	for name, sq := range c.queues {
		if n := sq.queueLen(); n > 0 {
			out[name] = n
		}
	}
	return out
}

// queueCopy is a copy of what the status of a service is made from.
type queueCopy struct {
	waiting int
	queued  map[ident.Workspace]int // queued runs of each workspace
	limited map[ident.Workspace]bool
	usages  []fair.Usage[ident.Workspace]
}

// copyQueues copies the state of a service's queues. It holds the lock for no more than that, since
// placements wait for it.
func (c *Coordinator) copyQueues(s ident.Service, now time.Time) queueCopy {
	c.mu.Lock()
	defer c.mu.Unlock()
	sq := c.queues[s]
	if sq == nil {
		return queueCopy{}
	}
	out := queueCopy{waiting: sq.queueLen(), queued: maps.Clone(sq.queued), limited: make(map[ident.Workspace]bool, len(sq.limited))}
	for w, at := range sq.limited {
		if now.Sub(at) <= limitedTTL {
			out.limited[w] = true
		}
	}
	if len(out.queued) > 0 || len(out.limited) > 0 {
		out.usages = sq.meter.Usages(now)
	}
	return out
}

// limit returns what is known of a workspace but its shares.
func (q *queueCopy) limit(s ident.Service, w ident.Workspace) Limit {
	return Limit{Service: s, Workspace: w, Limited: q.limited[w], Waiting: q.queued[w]}
}

// compareBalance orders workspaces by the difference between what they got and are entitled to.
func compareBalance(a, b Limit) int {
	return cmp.Or(cmp.Compare(a.Share-a.Entitled, b.Share-b.Entitled), cmp.Compare(a.Workspace, b.Workspace))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
