package retry

import (
	"time"

	"umberladder/internal/core/ident"
)

// Rates returns the request rates, per second and retries included, of this VM and of all
// VMs to a service, averaged over the window before now. While the rate of all VMs rises, it is
// averaged over the last seconds instead. VMs whose counts are missing are assumed to send as
// many requests as the average of the others.
func (b *FleetBudget) Rates(s ident.Service, now time.Time) (own, all float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sent := b.advance(s, now).sum()
	t := b.others(now)
	others := t.Attempts[s]
	seconds := b.span.Seconds()
	own = float64(sent.First+sent.Retries) / seconds
	all = own + float64(others.First+others.Retries)/seconds
	all *= float64(b.vmCount(t)) / float64(t.Reporting+1)
	if risen := b.rises.rate(s, now); risen > all && all > 0 {
		return own * risen / all, risen // the VM's part of the requests stays the same
	}
	return own, all
}

// sampleRates adds a sample of the attempts of all VMs, if one is due. There is none without
// the reports of other VMs: the first ones would look like a rise. The caller holds the lock.
func (b *FleetBudget) sampleRates(now time.Time) {
	if !b.rises.isDue(now) {
		return
	}
	t := b.others(now)
	if t.Reporting == 0 {
		return
	}
	scale := float64(b.vmCount(t)) / float64(t.Reporting+1)
	attempts := make(map[ident.Service]float64, len(t.Attempts))
	for s, n := range t.Attempts {
		attempts[s] = scale * float64(n.First+n.Retries)
	}
	for s := range b.counts {
		own := b.advance(s, now).sum()
		attempts[s] += scale * float64(own.First+own.Retries)
	}
	b.rises.add(attempts, t.Reporting, b.span, now)
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
