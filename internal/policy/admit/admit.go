package admit

import "time"

// PrefillRate is the number of prompt tokens per second that an engine processes while it also
// decodes the streams of a batch.
const PrefillRate = 7000.0

const (
	// maxTokensAhead is how many more tokens a stream is expected to generate before
	// another stream of its engine ends and frees memory. Reserving the whole expected
	// length would make engines count as full long before they are.
	maxTokensAhead = 250
	// startAllowance is the part of the latency target that is reserved for the network
	// latency to the engine, its first decode step and the prefill of one earlier prompt.
	startAllowance = 700 * time.Millisecond
	// minWaitShare is the minimum fraction of the latency target for which a generation
	// may wait for memory, regardless of its prompt size. Without it, calls with the
	// largest prompts count as late on arrival and get only memory that no other call uses.
	minWaitShare = 0.125
	// maxLateWait and maxLateShare bound the wait of a generation that will start late, as
	// a time and as a fraction of the client's timeout. A new engine becomes available
	// every 3 s, and a refused client should have time left to retry.
	maxLateWait  = 3 * time.Second
	maxLateShare = 0.125
	// retryShare is the largest fraction of a client's remaining time that is suggested to it
	// as the wait before a retry.
	retryShare = 1.0 / 3
)

// MemoryNeed returns the memory, in tokens, that a generation needs now and soon, given
// its prompt length, its maximum number of generated tokens and those generated so far.
func MemoryNeed(prompt, maxTokens, generated int) int {
	return prompt + min(generated+maxTokensAhead, maxTokens)
}

// OnTimeWait returns how long a generation may wait for memory and still start within its
// latency target. elapsed is the time since its arrival. promptTokens is the number of
// prompt tokens that need prefill. The result is at least minWaitShare of the target, less
// the elapsed time, and not negative.
func OnTimeWait(target, elapsed time.Duration, promptTokens int) time.Duration {
	prefill := time.Duration(float64(promptTokens) / PrefillRate * float64(time.Second))
	minWait := time.Duration(minWaitShare * float64(target))
	return max(0, max(target-prefill-startAllowance, minWait)-elapsed)
}

// MaxWait returns how long a generation may wait for memory, even if it then starts late.
// onTime is the result of OnTimeWait, timeout the client's timeout, counted from the
// arrival, and elapsed the time since the arrival.
func MaxWait(onTime, timeout, elapsed time.Duration) time.Duration {
	late := min(maxLateWait, time.Duration(maxLateShare*float64(timeout)))
	return max(0, min(max(onTime, late-elapsed), timeout-elapsed))
}

// RetryAfter returns the time after which a client should retry: the suggested wait, or
// retryShare of the client's remaining time if that is shorter.
func RetryAfter(wait, remaining time.Duration) time.Duration {
	return min(wait, time.Duration(retryShare*float64(max(0, remaining))))
}
