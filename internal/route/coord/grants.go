package coord

import (
	"errors"
	"slices"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/route/alloc"
	"umberladder/internal/route/pick"
)

const (
	// grantTTL is how long a grant is added to the reported loads. By then the
	// VM that got it has reported the run in its own load, even if one message
	// was lost.
	grantTTL = 60 * time.Millisecond
	// briefGrantTTL is the same for a brief run, which usually ends before a lost message
	// would be repeated, of a VM whose reports don't state the grants that it has received.
	briefGrantTTL = 25 * time.Millisecond
)

// grant is capacity granted to a VM that may not have reported it yet.
type grant struct {
	server ident.Server
	load   alloc.Load
	until  time.Time
	// vm and id identify the request if the grant also ends once the VM's reports include
	// the run. id is zero otherwise.
	vm ident.VM
	id uint64
}

// tryPlace grants the request capacity, or responds with NoServer. It reports
// whether it responded, and if not, whether the reason is a lack of capacity
// rather than a busy link.
func (c *Coordinator) tryPlace(sq *serviceQueue, r *request, now time.Time) (done, noCapacity bool) {
	r.Run.Reserved = sq.blocked
	placement, err := c.chooser.Choose(&r.Run, c.pendingGrants(now), now)
	switch {
	case errors.Is(err, pick.ErrNoServer):
		r.response.State = NoServer
		c.returnTicket(r)
	case err != nil:
		var full *pick.NoCapacityError
		return false, !errors.As(err, &full) || !full.LinkBusy
	default:
		r.response.State, r.response.Server = Granted, placement.Server.ID
		c.grants = append(c.grants, r.newGrant(placement.Server.ID, now))
		if r.Run.Source != "" {
			c.grants = append(c.grants, grant{server: r.Run.Source, load: alloc.Load{CopiesOut: 1}, until: now.Add(grantTTL)})
		}
		if placement.Backup != nil {
			r.response.Backup = placement.Backup.ID
			c.grants = append(c.grants, grant{server: placement.Backup.ID, load: r.Run.BackupLoad(), until: now.Add(grantTTL)})
		}
		sq.grantRate[r.levelAt(now)] += float64(r.Run.Need) / rateWindow.Seconds()
		c.recordGrant(sq, r, now)
	}
	r.respond(r.response)
	return true, false
}

// newGrant returns the grant of a server for the run. A VM that gets no processor time receives
// and reports the grant of a brief run later than briefGrantTTL. Its place would be granted twice
// if the grant ended by time alone.
func (r *request) newGrant(server ident.Server, now time.Time) grant {
	g := grant{server: server, load: r.Run.Load(), until: now.Add(grantTTL)}
	switch {
	case r.Run.Brief && r.ReportsGrants:
		g.vm, g.id, g.until = r.VM, r.ID, now.Add(alloc.GrantTTL)
	case r.Run.Brief:
		g.until = now.Add(briefGrantTTL)
	}
	return g
}

// pendingGrants returns the granted loads that VMs may not have reported yet.
func (c *Coordinator) pendingGrants(now time.Time) map[ident.Server]alloc.Load {
	c.grants = slices.DeleteFunc(c.grants, func(g grant) bool {
		return now.After(g.until) || g.id != 0 && c.chooser.HasReceived(g.vm, g.id)
	})
	out := make(map[ident.Server]alloc.Load, len(c.grants))
	for _, g := range c.grants {
		out[g.server] = out[g.server].Plus(g.load)
	}
	return out
}
