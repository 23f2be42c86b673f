package room

import "time"

const (
	// ahead is how many tokens a stream is expected to take beyond what it has, until
	// another stream of its engine ends. With whole expected lengths, engines would
	// count as full long before they are.
	ahead = 250
	// readRate is how many prompt tokens an engine reads in a second beside the
	// streams of a batch.
	readRate = 7000.0
	// startTime is kept of the latency target for the way to the engine and its
	// first step, and for one prompt that is read before.
	startTime = 700 * time.Millisecond
	// minDueShare is the minimum share of the latency target for which a generation may
	// wait for room, regardless of its prompt size. Without it, calls with the largest
	// prompts count as late on arrival and get only the room that no other call takes.
	minDueShare = 0.125
	// lateWait and lateShare bound the wait of a generation that will begin late,
	// in time and in its share of the time that the client waits: new engines come
	// each 3 s, and who is refused should have the time to come back.
	lateWait  = 3 * time.Second
	lateShare = 0.125
	// retryShare is the part of the time left after which a client comes back at
	// most.
	retryShare = 1.0 / 3
)

// Need returns the memory, in tokens, that a generation takes now and soon: of a
// prompt, of which made tokens of at most limit were generated.
func Need(prompt, limit, made int) int { return prompt + min(made+ahead, limit) }

// Due returns how long a generation that arrived some time ago may wait for
// room and still begin within its latency target; read are the prompt's tokens. The
// result is at least minDueShare of the target, less the time since arrival.
func Due(target, since time.Duration, read int) time.Duration {
	reading := time.Duration(float64(read) / readRate * float64(time.Second))
	minDue := time.Duration(minDueShare * float64(target))
	return max(0, max(target-reading-startTime, minDue)-since)
}

// Wait returns how long a generation may wait for room at all, though it then
// begins late; allowed is the time from its arrival in which an answer is of use.
func Wait(due, allowed, since time.Duration) time.Duration {
	late := min(lateWait, time.Duration(lateShare*float64(allowed)))
	return max(0, min(max(due, late-since), allowed-since))
}

// Retry returns after which time a client should come back that was told wait.
func Retry(wait, left time.Duration) time.Duration {
	return min(wait, time.Duration(retryShare*float64(max(0, left))))
}
