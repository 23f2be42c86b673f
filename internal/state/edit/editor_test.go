package edit

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"umberladder/internal/peer/store"
	"umberladder/internal/state/config"
	"umberladder/internal/state/syncer"
	"umberladder/internal/test/check"
)

// fakeStore is a store with one value whose calls have the faults that outcome returns.
type fakeStore struct {
	value   []byte
	rev     uint64
	puts    int
	outcome func(call string) string // "" (no fault), "down", "lost" or "unsent"
}

func (s *fakeStore) Get(_ context.Context, path string) (store.Item, error) {
	if s.outcome("get") != "" {
		return store.Item{}, &store.Error{Kind: store.Unavailable, Err: errors.New("down")}
	}
	if s.rev == 0 {
		return store.Item{}, &store.Error{Kind: store.NotFound, Err: errors.New("missing")}
	}
	return store.Item{Path: path, Revision: s.rev, Value: s.value}, nil
}

func (s *fakeStore) Put(_ context.Context, _ string, value []byte, want, _ uint64) (uint64, error) {
	outcome := s.outcome("put")
	if outcome == "down" {
		return 0, &store.Error{Kind: store.Unavailable, Err: errors.New("down")}
	}
	if outcome == "unsent" { // the request is lost: it has no effect, which the caller can't know
		return 0, &store.Error{Kind: store.OutcomeUnknown, Err: errors.New("no reply")}
	}
	if want != s.rev {
		return 0, &store.Error{Kind: store.Conflict, Err: errors.New("conflict")}
	}
	s.rev++
	s.puts++
	s.value = value
	if outcome == "lost" {
		return 0, &store.Error{Kind: store.OutcomeUnknown, Err: errors.New("no reply")}
	}
	return s.rev, nil
}

type nopFollower struct{}

func (nopFollower) ApplyWritten(config.Document) {}

func (nopFollower) Refresh(context.Context) error { return nil }

func workspace(n int) []byte {
	return []byte(fmt.Sprintf(`{"caller-keys":[%q],"services":[],"limits":{"concurrency":%d}}`, strings.Repeat("ab", 32), n))
}

func noFaults(string) string { return "" }

// TestApplyWithFaults guards against changes that are lost, applied twice, or applied
// although they were refused. Operators write concurrently to a store with random faults. Each
// result is checked against the history in the store, which must contain an accepted
// change once and a refused one never.
func TestApplyWithFaults(t *testing.T) {
	check.RapidChecks(t, 300)
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeStore{}
			var outcome func(string) string
			s.outcome = func(call string) string { return outcome(call) }
			e := New(s, nopFollower{}, config.New)
			read := uint64(0)
			for n := range rapid.IntRange(1, 15).Draw(rt, "changes") {
				outcome = noFaults
				if rapid.Bool().Draw(rt, "reads") {
					_, read, _ = e.Read(context.Background(), "/workspaces/w")
				}
				outcome = func(call string) string {
					return rapid.SampledFrom([]string{"", "", "down", "lost", "unsent"}).Draw(rt, call)
				}
				c := Change{ID: fmt.Sprint(n), By: "me", Path: "/workspaces/w", BaseVersion: read, Body: workspace(n + 1)}
				_, err := e.Apply(context.Background(), c)
				outcome = noFaults
				v, _, rerr := e.Read(context.Background(), "/workspaces/w")
				assert.NilError(t, rerr)
				switch {
				case err == nil:
					assert.Assert(t, v.Has(c.ID), "the change was accepted but is not in the history")
				case IsUnknown(err):
					// Both outcomes are possible. The status must match the history or be Unknown.
					if s := e.ChangeStatus(context.Background(), c.Path, c.ID, c.BaseVersion); s != Unknown {
						assert.Equal(t, s == Applied, v.Has(c.ID))
					}
				default:
					assert.Assert(t, !v.Has(c.ID), "the change was refused (%v) but is in the history", err)
				}
			}
			v, _, _ := e.Read(context.Background(), "/workspaces/w")
			assert.Equal(t, len(v.Changes), s.puts, "the history must have one change for each write")
			seen := map[string]bool{}
			for _, ch := range v.Changes {
				assert.Assert(t, !seen[ch.ID], "change %s is in the history twice", ch.ID)
				seen[ch.ID] = true
			}
		})
	})
}

func TestApply(t *testing.T) {
	ctx := context.Background()
	s := &fakeStore{outcome: noFaults}
	e := New(s, nopFollower{}, config.New)
	first := Change{ID: "1", By: "ada", Path: "/workspaces/w", Body: workspace(1)}
	res, err := e.Apply(ctx, first)
	assert.NilError(t, err)
	assert.Equal(t, res.Version, uint64(1))
	t.Run("a repeated change has no effect", func(t *testing.T) {
		again, err := e.Apply(ctx, first)
		assert.NilError(t, err)
		assert.Equal(t, again.Version, uint64(1))
		assert.Equal(t, s.puts, 1)
	})
	t.Run("a conflict names the version and its author", func(t *testing.T) {
		_, err := e.Apply(ctx, Change{ID: "2", Path: "/workspaces/w", Body: workspace(2)})
		c, ok := IsConflict(err)
		assert.Assert(t, ok, "%v", err)
		assert.Equal(t, c.Version, uint64(1))
		assert.Equal(t, c.By, "ada")
	})
	t.Run("a dry run returns the diff without writing", func(t *testing.T) {
		res, err := e.Apply(ctx, Change{ID: "3", Path: "/workspaces/w", BaseVersion: 1, Body: workspace(2), DryRun: true})
		assert.NilError(t, err)
		assert.DeepEqual(t, res.Diff, []string{"/limits/concurrency changed"})
		assert.Equal(t, s.puts, 1)
	})
	t.Run("the error of an invalid document names the member", func(t *testing.T) {
		_, err := e.Apply(ctx, Change{ID: "4", Path: "/workspaces/w", BaseVersion: 1, Body: workspace(0)})
		check.FieldError(t, err, "/limits/concurrency", "from 1")
		assert.Equal(t, s.puts, 1)
	})
	t.Run("a deletion creates a new version", func(t *testing.T) {
		res, err := e.Apply(ctx, Change{ID: "5", Path: "/workspaces/w", BaseVersion: 1})
		assert.NilError(t, err)
		assert.Equal(t, res.Version, uint64(2))
		v, _, err := e.Read(ctx, "/workspaces/w")
		assert.NilError(t, err)
		assert.Assert(t, len(v.Body) == 0 && len(v.Changes) == 2)
	})
	t.Run("the system's document can't be deleted", func(t *testing.T) {
		_, err := e.Apply(ctx, Change{ID: "6", Path: config.SystemPath})
		check.FieldError(t, err, "", "can't be deleted")
	})
}

func TestHistoryIsBounded(t *testing.T) {
	s := &fakeStore{outcome: noFaults}
	e := New(s, nopFollower{}, config.New)
	for n := range syncer.MaxChanges + 5 {
		_, err := e.Apply(context.Background(), Change{ID: fmt.Sprint(n), Path: "/workspaces/w", BaseVersion: uint64(n), Body: workspace(n + 1)})
		assert.NilError(t, err)
	}
	v, _, err := e.Read(context.Background(), "/workspaces/w")
	assert.NilError(t, err)
	assert.Equal(t, len(v.Changes), syncer.MaxChanges)
	assert.Equal(t, v.Changes[0].ID, "5")
}

func TestDiff(t *testing.T) {
	got := Diff([]byte(`{"a":1,"b":{"c":[1,2]},"d":3}`), []byte(`{"a":1,"b":{"c":[1,5,6]},"e/f":0}`))
	assert.DeepEqual(t, got, []string{"/b/c/1 changed", "/b/c/2 added", "/d removed", "/e~1f added"})
}
