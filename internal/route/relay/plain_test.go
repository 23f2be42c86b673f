package relay

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/call"
	"umberladder/internal/core/refuse"
	"umberladder/internal/route/alloc"
	"umberladder/internal/route/port"
	"umberladder/internal/state/routes"
	"umberladder/internal/test/check"
)

func (h *harness) fullLoad() alloc.Load { return alloc.Load{Calls: 24, Tokens: 34_000} }

type respondFunc func() (*port.Response, error)

func respondOK() (*port.Response, error) {
	return &port.Response{Status: 200, Delimited: true, Body: &textBody{s: "ok"}}, nil
}

func respondError() (*port.Response, error) {
	return &port.Response{Status: 500, Signed: true, Delimited: true, Body: &textBody{s: "no"}}, nil
}

func respondOverloaded() (*port.Response, error) {
	return &port.Response{Status: 503, NotExecuted: true, Body: &textBody{}}, nil
}

// respondReplaced is the response of another server that took over the address.
func respondReplaced() (*port.Response, error) {
	return &port.Response{Status: 421, NotExecuted: true, Replaced: true, Body: &textBody{}}, nil
}

func failUnsent() (*port.Response, error) {
	return nil, &port.SendError{Unsent: true, Err: errors.New("no connection")}
}

func respondTruncated() (*port.Response, error) {
	return &port.Response{Status: 200, Body: &textBody{s: "o", err: errors.New("reset")}}, nil
}

func failSilent() (*port.Response, error) {
	return nil, &port.SendError{Err: errors.New("closed without a response")}
}

func TestPlain(t *testing.T) {
	for name, tc := range map[string]struct {
		path      string
		responses []respondFunc // of the first attempt, the second, and so on
		budget    int
		status    int
		reason    refuse.Reason
		ran       refuse.Ran
		attempts  int
		gone      int // servers removed from use
	}{
		"served":                                    {path: "/get/x", responses: []respondFunc{respondOK}, budget: 9, status: 200, attempts: 1},
		"a failed call is retried":                  {path: "/get/x", responses: []respondFunc{respondError, respondOK}, budget: 9, status: 200, attempts: 2},
		"a truncated response is not forwarded":     {path: "/get/x", responses: []respondFunc{respondTruncated, respondOK}, budget: 9, status: 200, attempts: 2},
		"the last failure response is forwarded":    {path: "/get/x", responses: []respondFunc{respondError, respondError}, budget: 9, status: 500, attempts: 2},
		"no retry beyond the budget":                {path: "/get/x", responses: []respondFunc{respondError, respondOK}, status: 500, attempts: 1},
		"an unsent call is sent to another server":  {path: "/once/x", responses: []respondFunc{failUnsent, respondOK}, budget: 9, status: 200, attempts: 2},
		"once: no retry after a truncated response": {path: "/once/x", responses: []respondFunc{respondTruncated, respondOK}, budget: 9, reason: refuse.ServerLost, ran: refuse.RanMaybe, attempts: 1},
		"once: no retry without a response":         {path: "/once/x", responses: []respondFunc{failSilent, respondOK}, budget: 9, reason: refuse.ServerLost, ran: refuse.RanMaybe, attempts: 1},
		"once: a failure is the server's own":       {path: "/once/x", responses: []respondFunc{respondError, respondOK}, budget: 9, status: 500, attempts: 1},
		"once: an overloaded server did not run it": {path: "/once/x", responses: []respondFunc{respondOverloaded, respondOK}, budget: 9, reason: refuse.ServerRejected, attempts: 1},
		"may have run, then rejected":               {path: "/get/x", responses: []respondFunc{failSilent, respondOverloaded}, budget: 9, reason: refuse.ServerLost, ran: refuse.RanMaybe, attempts: 2},
		"no server is reachable":                    {path: "/get/x", responses: []respondFunc{failUnsent, failUnsent, failUnsent, failUnsent}, budget: 9, reason: refuse.Unreachable, attempts: 4},
		"a replaced server is skipped":              {path: "/get/x", responses: []respondFunc{respondReplaced, respondOK}, budget: 9, status: 200, attempts: 2, gone: 1},
		"once: a replaced server did not run it":    {path: "/once/x", responses: []respondFunc{respondReplaced, respondOK}, budget: 9, reason: refuse.ServerRejected, attempts: 1, gone: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, 4)
				h.budget.remaining = tc.budget
				attempts := 0
				for i := range 4 {
					h.engines.respond[serverEntry(i).ID] = func() (*port.Response, error) {
						attempts++
						return tc.responses[attempts-1]()
					}
				}
				c, r := h.serve(t.Context(), tc.path)
				assert.Equal(t, attempts, tc.attempts)
				assert.Equal(t, h.table.View().Len(), 4-tc.gone, "servers still in use")
				if tc.status != 0 {
					assert.Assert(t, r == nil, "%v", r)
					assert.Equal(t, c.status, tc.status)
					return
				}
				check.Refusal(t, r, tc.reason, tc.ran)
				promisesNotRun := r.Reason.Status() == 503
				assert.Equal(t, promisesNotRun, tc.ran == refuse.RanNo, "status %d of a call that ran: %s", r.Reason.Status(), tc.ran)
			})
		})
	}
}

func respondStatus(status int) respondFunc {
	return func() (*port.Response, error) {
		return &port.Response{Status: status, Signed: true, Delimited: true, Body: &textBody{s: "no"}}, nil
	}
}

// TestRetries checks at how many servers a call is tried that fails, and how many retries it
// takes from the budget: one for each attempt after the first that is sent.
func TestRetries(t *testing.T) {
	internal, unavailable := respondStatus(500), respondStatus(503)
	for name, tc := range map[string]struct {
		servers   int
		responses []respondFunc // of the first attempt, the second, and so on
		status    int
		attempts  int
		retries   int
	}{
		"the same failure twice":            {servers: 4, responses: []respondFunc{internal, internal, respondOK}, status: 500, attempts: 2, retries: 1},
		"two kinds of failure":              {servers: 4, responses: []respondFunc{internal, unavailable, respondOK}, status: 200, attempts: 3, retries: 2},
		"the same failure after another":    {servers: 4, responses: []respondFunc{internal, unavailable, internal, respondOK}, status: 500, attempts: 3, retries: 2},
		"a rejection is no failure":         {servers: 4, responses: []respondFunc{respondOverloaded, respondOverloaded, respondOK}, status: 200, attempts: 3, retries: 2},
		"a connection fails before a retry": {servers: 4, responses: []respondFunc{internal, failUnsent, respondOK}, status: 200, attempts: 3, retries: 1},
		"no server is left for a retry":     {servers: 1, responses: []respondFunc{internal, respondOK}, status: 500, attempts: 1},
		"no other server is reachable":      {servers: 2, responses: []respondFunc{internal, failUnsent}, status: 500, attempts: 2},
		"broken off twice":                  {servers: 3, responses: []respondFunc{failSilent, failSilent, respondOK}, status: 200, attempts: 3, retries: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, tc.servers)
				attempts, budget := 0, h.budget.remaining
				for i := range tc.servers {
					h.engines.respond[serverEntry(i).ID] = func() (*port.Response, error) {
						attempts++
						return tc.responses[attempts-1]()
					}
				}
				c, r := h.serve(t.Context(), "/retry/x")
				assert.Assert(t, r == nil, "%v", r)
				assert.Equal(t, c.status, tc.status)
				assert.Equal(t, attempts, tc.attempts)
				assert.Equal(t, budget-h.budget.remaining, tc.retries, "retries taken from the budget")
			})
		})
	}
}

func TestAdmit(t *testing.T) {
	revoked := routes.New(routes.Parts{
		Version: 2, Routes: []*routes.Route{{Host: "h", Prefix: "/get/", Timeout: time.Second}},
		Workspaces: []*routes.Workspace{{Name: "team", Keys: []string{"other"}}},
	})
	for name, tc := range map[string]struct {
		path   string
		before func(h *harness)
		reason refuse.Reason
	}{
		"no settings yet": {path: "/get/x", reason: refuse.SettingsMissing, before: func(h *harness) {
			h.settings = routes.NewCurrent(h.clock)
			h.relay.Settings = h.settings
		}},
		"unknown path by outdated settings": {path: "/new/x", reason: refuse.SettingsStale, before: func(*harness) { time.Sleep(maxRefusalAge) }},
		"unknown path by recent settings":   {path: "/new/x", reason: refuse.NotFound, before: func(*harness) {}},
		"unknown path by refreshed settings": {path: "/new/x", reason: refuse.NotFound, before: func(h *harness) {
			time.Sleep(maxRefusalAge)
			h.refresh = func() error {
				h.settings.ConfirmNewest(h.clock())
				return nil
			}
		}},
		"a revoked key": {path: "/get/x", reason: refuse.WrongKey, before: func(h *harness) {
			h.refresh = func() error {
				h.settings.ConfirmNewest(h.clock())
				return nil
			}
			h.settings.Update(revoked, h.clock())
		}},
		// VMs that knew of newer settings but could not fetch them served calls by the
		// old ones 3.2 s after the change had been confirmed.
		"newer settings that cannot be fetched": {path: "/get/x", reason: refuse.SettingsStale, before: func(h *harness) {
			h.settings.RecordVersion(2, h.clock())
			time.Sleep(2400 * time.Millisecond)
		}},
		"settings confirmed as the newest": {path: "/new/x", reason: refuse.NotFound, before: func(h *harness) {
			h.settings.RecordVersion(2, h.clock())
			time.Sleep(2400 * time.Millisecond)
			h.settings.ConfirmNewest(h.clock())
		}},
		"settings too old to check keys": {path: "/get/x", reason: refuse.SettingsStale, before: func(*harness) { time.Sleep(4800 * time.Millisecond) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, 1)
				h.engines.respond["s0"] = respondOK
				tc.before(h)
				time.Sleep(time.Millisecond)
				_, r := h.serve(t.Context(), tc.path)
				check.Refusal(t, r, tc.reason, refuse.RanNo)
			})
		})
	}
}

// TestShutdownPlain guards against plain calls that a VM accepts while it shuts down and then
// interrupts, because they take much longer than the target of their route, and against short
// ones that it refuses.
func TestShutdownPlain(t *testing.T) {
	const ms = time.Millisecond
	for name, tc := range map[string]struct {
		recent  []time.Duration // durations of calls before the stop signal
		sent    time.Duration   // after the stop signal
		timeout time.Duration
		prompt  *call.Prompt
		served  bool
	}{
		"long generations in one piece":               {recent: []time.Duration{5 * time.Second}, prompt: &call.Prompt{MaxTokens: 4}, sent: 2500 * ms, timeout: 7 * time.Second},
		"short calls, just after the signal":          {recent: []time.Duration{50 * ms}, sent: 500 * ms, timeout: 7 * time.Second, served: true},
		"short calls, before clients have moved":      {recent: []time.Duration{50 * ms}, sent: 2500 * ms, timeout: 7 * time.Second, served: true},
		"no recent call, before clients have moved":   {sent: 2500 * ms, timeout: 7 * time.Second, served: true},
		"long calls, before clients have moved":       {recent: []time.Duration{5 * time.Second}, sent: 2500 * ms, timeout: 7 * time.Second},
		"long calls, just after the signal":           {recent: []time.Duration{5 * time.Second}, sent: 500 * ms, timeout: 7 * time.Second, served: true},
		"a long call among short ones":                {recent: []time.Duration{5 * time.Second, 50 * ms}, sent: 2500 * ms, timeout: 7 * time.Second},
		"long calls, after it":                        {recent: []time.Duration{5 * time.Second}, sent: 3100 * ms, timeout: 7 * time.Second},
		"long calls after short ones, after it":       {recent: []time.Duration{50 * ms}, sent: 3100 * ms, timeout: 7 * time.Second},
		"the time limit ends before the VM, after it": {recent: []time.Duration{50 * ms}, sent: 3400 * ms, timeout: 4 * time.Second, served: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, 2)
				h.engines.respond["s0"], h.engines.respond["s1"] = respondOK, respondOK
				c := h.call("/once/x")
				route := h.settings.Load().Find(c.Host, c.Path)
				route.LatencyTarget, route.Timeout = 100*ms, tc.timeout
				for _, d := range tc.recent {
					h.relay.Durations.Observe(route.Name, d, time.Now())
				}
				h.relay.Drain(time.Now().Add(7600 * ms))
				time.Sleep(tc.sent)
				c = h.call("/once/x")
				c.Prompt = tc.prompt
				w := &client{}
				r := h.relay.Serve(t.Context(), c, w)
				if tc.served {
					assert.Assert(t, r == nil, "%v", r)
					assert.Equal(t, w.status, 200)
					return
				}
				check.Refusal(t, r, refuse.VMStopping, refuse.RanNo)
			})
		})
	}
}
