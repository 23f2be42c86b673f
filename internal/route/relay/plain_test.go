package relay

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/refuse"
	"umberladder/internal/route/port"
	"umberladder/internal/route/seats"
	"umberladder/internal/state/routes"
	"umberladder/internal/test/check"
)

func (w *world) full() seats.Load { return seats.Load{Seats: 24, Tokens: 34_000} }

type outcome func() (*port.Answer, error)

func ok() (*port.Answer, error) { return &port.Answer{Status: 200, Body: &text{s: "ok"}}, nil }

func fails() (*port.Answer, error) {
	return &port.Answer{Status: 500, Signed: true, Body: &text{s: "no"}}, nil
}

func sheds() (*port.Answer, error) {
	return &port.Answer{Status: 503, NotRun: true, Body: &text{}}, nil
}

// gone is the answer of another server that took the address over.
func gone() (*port.Answer, error) {
	return &port.Answer{Status: 421, NotRun: true, Gone: true, Body: &text{}}, nil
}

func unsent() (*port.Answer, error) {
	return nil, &port.SendError{Unsent: true, Err: errors.New("no connection")}
}

func cut() (*port.Answer, error) {
	return &port.Answer{Status: 200, Body: &text{s: "o", err: errors.New("reset")}}, nil
}

func silent() (*port.Answer, error) {
	return nil, &port.SendError{Err: errors.New("closed without an answer")}
}

func TestPlain(t *testing.T) {
	for name, tc := range map[string]struct {
		path    string
		answers []outcome // of the first server asked, the second, and so on
		budget  int
		status  int
		reason  refuse.Reason
		ran     refuse.Ran
		asked   int
		gone    int // servers that are used no more
	}{
		"served":                                  {path: "/get/x", answers: []outcome{ok}, budget: 9, status: 200, asked: 1},
		"a failed call is sent once more":         {path: "/get/x", answers: []outcome{fails, ok}, budget: 9, status: 200, asked: 2},
		"a cut answer is not passed on":           {path: "/get/x", answers: []outcome{cut, ok}, budget: 9, status: 200, asked: 2},
		"the last failure is the server's own":    {path: "/get/x", answers: []outcome{fails, fails}, budget: 9, status: 500, asked: 2},
		"no retry beyond the budget":              {path: "/get/x", answers: []outcome{fails, ok}, status: 500, asked: 1},
		"unsent is tried elsewhere":               {path: "/once/x", answers: []outcome{unsent, ok}, budget: 9, status: 200, asked: 2},
		"once: not after a cut answer":            {path: "/once/x", answers: []outcome{cut, ok}, budget: 9, reason: refuse.ServerDied, ran: refuse.RanMaybe, asked: 1},
		"once: not after silence":                 {path: "/once/x", answers: []outcome{silent, ok}, budget: 9, reason: refuse.ServerDied, ran: refuse.RanMaybe, asked: 1},
		"once: a failure is the server's own":     {path: "/once/x", answers: []outcome{fails, ok}, budget: 9, status: 500, asked: 1},
		"once: shed is not run":                   {path: "/once/x", answers: []outcome{sheds, ok}, budget: 9, reason: refuse.ServerRefused, asked: 1},
		"may have run, then shed":                 {path: "/get/x", answers: []outcome{silent, sheds}, budget: 9, reason: refuse.ServerDied, ran: refuse.RanMaybe, asked: 2},
		"nobody can be reached":                   {path: "/get/x", answers: []outcome{unsent, unsent, unsent, unsent}, budget: 9, reason: refuse.NoServer, asked: 4},
		"a server that is gone is passed over":    {path: "/get/x", answers: []outcome{gone, ok}, budget: 9, status: 200, asked: 2, gone: 1},
		"once: a server that is gone ran nothing": {path: "/once/x", answers: []outcome{gone, ok}, budget: 9, reason: refuse.ServerRefused, asked: 1, gone: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 4)
				w.budget.left = tc.budget
				asked := 0
				for i := range 4 {
					w.engines.plain[entry(i).ID] = func() (*port.Answer, error) {
						asked++
						return tc.answers[asked-1]()
					}
				}
				c, r := w.serve(t.Context(), tc.path)
				assert.Equal(t, asked, tc.asked)
				assert.Equal(t, w.table.View().Len(), 4-tc.gone, "servers that are used on")
				if tc.status != 0 {
					assert.Assert(t, r == nil, "%v", r)
					assert.Equal(t, c.status, tc.status)
					return
				}
				check.Refusal(t, r, tc.reason, tc.ran)
				promise := r.Reason.Status() == 503
				assert.Equal(t, promise, tc.ran == refuse.RanNo, "status %d of a call that ran: %s", r.Reason.Status(), tc.ran)
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
		before func(w *world)
		reason refuse.Reason
	}{
		"no settings yet": {path: "/get/x", reason: refuse.SettingsMissing, before: func(w *world) {
			w.book = routes.NewBook(w.clock)
			w.relay.Settings = w.book
		}},
		"unknown path by old settings is not denied":   {path: "/new/x", reason: refuse.SettingsStale, before: func(*world) { time.Sleep(lookAge) }},
		"unknown path by settings that are new enough": {path: "/new/x", reason: refuse.NotFound, before: func(*world) {}},
		"unknown path by settings read anew": {path: "/new/x", reason: refuse.NotFound, before: func(w *world) {
			time.Sleep(lookAge)
			w.refresh = func() error {
				w.book.Confirm(w.clock())
				return nil
			}
		}},
		"a key that was taken away": {path: "/get/x", reason: refuse.WrongKey, before: func(w *world) {
			w.refresh = func() error {
				w.book.Confirm(w.clock())
				return nil
			}
			w.book.Put(revoked, w.clock())
		}},
		// VMs that knew of newer settings, and could not get them, served calls by the
		// old ones 3.2 s after the change had been confirmed.
		"newer settings that can't be had": {path: "/get/x", reason: refuse.SettingsStale, before: func(w *world) {
			w.book.Hear(2, w.clock())
			time.Sleep(2400 * time.Millisecond)
		}},
		"newer settings of which there is no word any more": {path: "/new/x", reason: refuse.NotFound, before: func(w *world) {
			w.book.Hear(2, w.clock())
			time.Sleep(2400 * time.Millisecond)
			w.book.Confirm(w.clock())
		}},
		"keys of unknown age": {path: "/get/x", reason: refuse.SettingsStale, before: func(*world) { time.Sleep(4800 * time.Millisecond) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 1)
				w.engines.plain["s0"] = ok
				tc.before(w)
				time.Sleep(time.Millisecond)
				_, r := w.serve(t.Context(), tc.path)
				check.Refusal(t, r, tc.reason, refuse.RanNo)
			})
		})
	}
}
