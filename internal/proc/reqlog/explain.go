package reqlog

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"umberladder/internal/core/refuse"
)

// Parts of the detail of a refusal for lack of capacity, as stream.forwarder, unary.requester and
// task.Task.ShareDetail write them. platform.TestStatus compares them with lines of a VM.
var (
	noRoomDetail      = regexp.MustCompile(`has room(?: for (\d+) tokens)? within (\S+), (\d+) calls wait`)
	unreachableDetail = regexp.MustCompile(`(\d+) engines could not be reached`)
	priorityDetail    = regexp.MustCompile(`the call has priority (\d+)`)
	shareDetail       = regexp.MustCompile(`workspace (\S+) got ([\d.]+)% of what was granted recently and has (\d+) calls that wait`)
)

// limits says which limit a refusal is about, for reasons whose detail does not name it.
var limits = map[refuse.Reason]string{
	refuse.WaitExceeded:    "The limit is the timeout of the client or of the route, whichever is shorter.",
	refuse.TimedOut:        "The limit is the timeout of the client or of the route, whichever is shorter.",
	refuse.TooLarge:        "The limit is the memory of an engine of the service, in the settings of the platform.",
	refuse.VMStopping:      "The limit is the time that the VM has to stop (stop-grace), of which the call could need more than is left.",
	refuse.Quarantined:     "The limits are those of the quarantine in the VM's settings file.",
	refuse.PartQuarantined: "The limits are those of the quarantine in the VM's settings file.",
	refuse.SettingsStale:   "The limits are revoke-bound and apply-bound in the VM's settings file.",
}

// Explain returns the refusal as sentences, one decision per line.
func (r *Refusal) Explain() string {
	lines := []string{r.subject()}
	reason, known := refuse.ParseReason(r.Reason)
	if known {
		lines = append(lines, reason.Title()+" (reason "+r.Reason+").")
	} else {
		lines = append(lines, fmt.Sprintf("The reason is %s, which this version of the command does not know.", r.Reason))
	}
	if capacity := r.capacity(); reason == refuse.NoCapacity && len(capacity) > 0 {
		lines = append(lines, capacity...)
	} else if r.Detail != "" {
		lines = append(lines, "The VM says: "+r.Detail+".")
	}
	if limit, ok := limits[reason]; ok {
		lines = append(lines, limit)
	}
	lines = append(lines, r.execution())
	if r.RetryAfter > 0 {
		lines = append(lines, fmt.Sprintf("Its Retry-After was %s.", r.RetryAfter.Round(time.Millisecond)))
	} else {
		lines = append(lines, "The client was given no time to retry after.")
	}
	return strings.Join(lines, "\n")
}

// subject returns the sentence that names the call.
func (r *Refusal) subject() string {
	s := "Call"
	for _, part := range []struct{ format, value string }{
		{" %s", r.Request}, {" of kind %s", r.Kind}, {" to service %s", r.Service}, {" by route %s", r.Route},
	} {
		if part.value != "" {
			s += fmt.Sprintf(part.format, part.value)
		}
	}
	s += r.outcome()
	if r.VM != "" {
		s += " at VM " + r.VM
	}
	if !r.At.IsZero() {
		s += " at " + r.At.UTC().Format("2006-01-02 15:04:05.000 UTC")
	}
	if r.Status > 0 {
		s += fmt.Sprintf(" with status %d", r.Status)
	}
	return s + "."
}

// outcome returns what became of the call. Only calls that did not run were refused.
func (r *Refusal) outcome() string {
	switch {
	case r.Reason == refuse.ClientDisconnected.String():
		return " was ended by its client"
	case r.Ran == refuse.RanNo.String():
		return " was refused"
	default:
		return " failed"
	}
}

// capacity explains the detail of a refusal for lack of capacity. It returns nothing if the
// detail has another form.
func (r *Refusal) capacity() []string {
	room := noRoomDetail.FindStringSubmatch(r.Detail)
	if room == nil {
		return nil
	}
	limit := fmt.Sprintf("Limit: no server had room within %s, the longest that the call could wait for it.", room[2])
	if room[1] != "" {
		limit = fmt.Sprintf("Limit: no engine had room for the %s tokens of memory that the call needed within %s, the longest that it could wait. %s", room[1], room[2], r.wait(room[2], room[3]))
	}
	lines := []string{limit}
	lines = append(lines, waitingSentence(room[3]))
	if m := unreachableDetail.FindStringSubmatch(r.Detail); m != nil && m[1] != "0" {
		lines = append(lines, fmt.Sprintf("The VM could not reach %s of the engines that it was to send the call to.", m[1]))
	}
	if m := priorityDetail.FindStringSubmatch(r.Detail); m != nil {
		lines = append(lines, prioritySentence(m[1]))
	}
	if m := shareDetail.FindStringSubmatch(r.Detail); m != nil {
		lines = append(lines, fmt.Sprintf("Share: workspace %s got %s%% of what was granted in the last second or so, and had %s calls waiting when this one was refused.", m[1], m[2], m[3]))
	}
	return lines
}

// earlyMargin is how much shorter than its limit the wait of a call is that was refused early.
const earlyMargin = 20 * time.Millisecond

// wait returns the sentence on how long a call waited for an engine, given the limit and the number
// of calls that waited. A coordinator refuses a call early if it can't start in time and the few
// places for such calls are taken.
func (r *Refusal) wait(limit, calls string) string {
	after := "at once"
	if waited := r.Queued.Round(time.Millisecond); waited > 0 {
		after = "after " + waited.String()
	}
	if d, err := time.ParseDuration(limit); err == nil && calls != "0" && r.Queued < d-earlyMargin {
		return fmt.Sprintf("It was refused %s, as it could not start in time and the places for late calls were taken.", after)
	}
	return fmt.Sprintf("It was refused %s.", after)
}

// waitingSentence returns the sentence on the calls that waited. A VM that decides alone because no
// coordinator responds states none.
func waitingSentence(calls string) string {
	if calls == "0" {
		return "Waiting: no other call waited at the coordinator, or no coordinator responded and the VM decided alone."
	}
	return fmt.Sprintf("Waiting: %s calls of the service waited at its coordinator when this one came.", calls)
}

func prioritySentence(priority string) string {
	if priority == "0" {
		return "Priority: 0, which precedes the others but leaves them at least a quarter of the capacity."
	}
	return fmt.Sprintf("Priority: %s; calls of priority 0 precede it, but leave the others at least a quarter of the capacity.", priority)
}

// execution returns the sentence on whether the call ran.
func (r *Refusal) execution() string {
	ran, ok := refuse.ParseRan(r.Ran)
	switch {
	case !ok:
		return "The line does not say whether the call ran."
	case ran == refuse.RanNo && r.Sent == 0:
		return "The call did not run: it was sent to no server."
	case ran == refuse.RanNo:
		return fmt.Sprintf("The call did not run: none of the servers that it was sent to (%d) started it.", r.Sent)
	case ran == refuse.RanPartial:
		return "The call ran in part; what reached the client is all there is."
	default:
		return "The call may have run."
	}
}
