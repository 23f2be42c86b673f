package retry

import (
	"time"

	"umberladder/internal/core/ident"
)

// Rates returns the request rates, per second and retries included, of this VM and of all
// VMs to a service, averaged over the window before now. VMs whose counts are missing are
// assumed to send as many requests as the average of the others.
func (b *FleetBudget) Rates(s ident.Service, now time.Time) (own, all float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sent := b.advance(s, now).sum()
	t := b.others(now)
	others := t.Attempts[s]
	seconds := b.span.Seconds()
	own = float64(sent.First+sent.Retries) / seconds
	all = own + float64(others.First+others.Retries)/seconds
	return own, all * float64(b.vmCount(t)) / float64(t.Reporting+1)
}

// VMs returns the number of VMs, this one included.
func (b *FleetBudget) VMs(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.vmCount(b.others(now))
}

// vmCount returns the number of VMs, this one included, or minVMs if no other is known.
func (b *FleetBudget) vmCount(t FleetTotal) int {
	if t.Known == 0 {
		return minVMs
	}
	return max(t.Known, t.Reporting) + 1
}
