package routes

import "time"

const (
	// attemptsPerStream is the number of attempts of its client, each as long as the route's timeout,
	// over which a stream may last.
	attemptsPerStream = 2
	// Clients abandon a stream after a pause between two events of minPatience, or of
	// targetsOfPatience times the latency target or gapsOfPatience times the gap target if one of
	// these is longer.
	minPatience       = 2 * time.Second
	targetsOfPatience = 4
	gapsOfPatience    = 8
)

// StreamLifetime returns the time within which the version that began a stream of the route has had a
// server when the stream is taken up, if each attempt may have lasted for a timeout. It is no less
// than a timeout and the patience of clients, however often the stream was taken up: its last
// attempt was placed, while servers of its version had entries, within a timeout before the last
// event.
func (r *Route) StreamLifetime(timeout time.Duration) time.Duration {
	patience := max(minPatience, targetsOfPatience*r.LatencyTarget, gapsOfPatience*r.GapTarget)
	return timeout + max((attemptsPerStream-1)*timeout, patience)
}
