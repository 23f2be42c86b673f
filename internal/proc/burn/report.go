package burn

import (
	"cmp"
	"slices"
	"time"

	"umberladder/internal/core/ident"
)

// Minimum burn rates that alert, for an error budget over 30 days (The Site
// Reliability Workbook, table 5-8). At pageRate, 2% of the budget is used up in one
// hour; at ticketRate, 5% in six hours.
const (
	pageRate   = 14.4
	ticketRate = 6.0
)

// Row holds the counts for one objective of a workspace, service and class.
type Row struct {
	Workspace ident.Workspace
	Service   ident.Service
	Class     ident.Class
	Objective Objective
	Counts    [len(Windows)]Count
}

// Rate returns the burn rate over window i, or zero if there were no events.
func (r *Row) Rate(i int) float64 {
	c := r.Counts[i]
	if c.Total == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total) / (1 - r.Objective.Target())
}

// Left returns the remaining share of the longest window's error budget. It is
// negative if the budget is overspent.
func (r *Row) Left() float64 { return 1 - r.Rate(len(Windows)-1) }

// Alert returns the urgency of a row: "page", "ticket" or "" for none.
func (r *Row) Alert() string {
	switch {
	case r.Rate(0) >= pageRate && r.Rate(1) >= pageRate:
		return "page"
	case r.Rate(1) >= ticketRate && r.Rate(2) >= ticketRate:
		return "ticket"
	default:
		return ""
	}
}

// Report holds the counts of one or more VMs.
type Report struct {
	At     time.Time
	VMs    []ident.VM // VMs whose counts are included
	Silent []ident.VM // VMs that did not respond, whose counts are missing
	Rows   []Row
}

type rowKey struct {
	key
	objective Objective
}

// Merge adds another report's counts to r.
func (r *Report) Merge(o *Report) {
	at := make(map[rowKey]int, len(r.Rows))
	for i := range r.Rows {
		at[r.Rows[i].key()] = i
	}
	for _, row := range o.Rows {
		i, ok := at[row.key()]
		if !ok {
			at[row.key()] = len(r.Rows)
			r.Rows = append(r.Rows, row)
			continue
		}
		for w := range Windows {
			r.Rows[i].Counts[w].add(row.Counts[w])
		}
	}
	r.VMs = append(r.VMs, o.VMs...)
	r.Silent = append(r.Silent, o.Silent...)
	r.sort()
}

func (r *Row) key() rowKey {
	return rowKey{key{r.Workspace, r.Service, r.Class}, r.Objective}
}

// FilterWorkspace removes the rows of all other workspaces.
func (r *Report) FilterWorkspace(w ident.Workspace) {
	r.Rows = slices.DeleteFunc(r.Rows, func(row Row) bool { return row.Workspace != w })
}

func (r *Report) sort() {
	slices.SortFunc(r.Rows, func(a, b Row) int {
		return cmp.Or(
			cmp.Compare(a.Workspace, b.Workspace),
			cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Class, b.Class),
			cmp.Compare(a.Objective, b.Objective),
		)
	})
	slices.Sort(r.VMs)
	slices.Sort(r.Silent)
}
