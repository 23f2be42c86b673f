package amend

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
	"umberladder/internal/state/spread"
	"umberladder/internal/test/check"
)

// lossy is a store whose calls fail as drawn.
type lossy struct {
	value []byte
	rev   uint64
	puts  int
	next  func(call string) string // "", "down", "lost" or "unsent"
}

func (l *lossy) Get(_ context.Context, path string) (store.Item, error) {
	if l.next("get") != "" {
		return store.Item{}, &store.Error{Fault: store.Down, Err: errors.New("down")}
	}
	if l.rev == 0 {
		return store.Item{}, &store.Error{Fault: store.Missing, Err: errors.New("missing")}
	}
	return store.Item{Path: path, Revision: l.rev, Value: l.value}, nil
}

func (l *lossy) Put(_ context.Context, _ string, value []byte, want, _ uint64) (uint64, error) {
	how := l.next("put")
	if how == "down" {
		return 0, &store.Error{Fault: store.Down, Err: errors.New("down")}
	}
	if how == "unsent" { // sent and lost on the way: it has no effect
		return 0, &store.Error{Fault: store.Unknown, Err: errors.New("no reply")}
	}
	if want != l.rev {
		return 0, &store.Error{Fault: store.Conflict, Err: errors.New("conflict")}
	}
	l.rev++
	l.puts++
	l.value = value
	if how == "lost" {
		return 0, &store.Error{Fault: store.Unknown, Err: errors.New("no reply")}
	}
	return l.rev, nil
}

type still struct{}

func (still) Accepted(config.Document) {}

func (still) Refresh(context.Context) error { return nil }

func workspace(n int) []byte {
	return []byte(fmt.Sprintf(`{"caller-keys":[%q],"services":[],"limits":{"concurrency":%d}}`, strings.Repeat("ab", 32), n))
}

func healthy(string) string { return "" }

// TestOracle has operators race over a store that fails as drawn. Each answer
// is held against the store's own history: an accepted change is in it once, a
// refused one never.
func TestOracle(t *testing.T) {
	check.Checks(t, 300)
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			l := &lossy{}
			var now func(string) string
			l.next = func(call string) string { return now(call) }
			a := New(l, still{}, config.New)
			read := uint64(0)
			for n := range rapid.IntRange(1, 15).Draw(rt, "changes") {
				now = healthy
				if rapid.Bool().Draw(rt, "reads") {
					_, read, _ = a.Read(context.Background(), "/workspaces/w")
				}
				now = func(call string) string {
					return rapid.SampledFrom([]string{"", "", "down", "lost", "unsent"}).Draw(rt, call)
				}
				c := Change{ID: fmt.Sprint(n), By: "me", Path: "/workspaces/w", Want: read, Body: workspace(n + 1)}
				_, err := a.Apply(context.Background(), c)
				now = healthy
				v, _, rerr := a.Read(context.Background(), "/workspaces/w")
				assert.NilError(t, rerr)
				switch {
				case err == nil:
					assert.Assert(t, v.Has(c.ID), "accepted, and not there")
				case IsUnknown(err):
					// Either; asking tells, or says that it can't be told yet.
					if s := a.Ask(context.Background(), c.Path, c.ID, c.Want); s != Unknown {
						assert.Equal(t, s == Applied, v.Has(c.ID))
					}
				default:
					assert.Assert(t, !v.Has(c.ID), "refused (%v), and there", err)
				}
			}
			v, _, _ := a.Read(context.Background(), "/workspaces/w")
			assert.Equal(t, len(v.Changes), l.puts, "a change is in the history once for each write")
			seen := map[string]bool{}
			for _, ch := range v.Changes {
				assert.Assert(t, !seen[ch.ID], "change %s twice", ch.ID)
				seen[ch.ID] = true
			}
		})
	})
}

func TestApply(t *testing.T) {
	ctx := context.Background()
	l := &lossy{next: healthy}
	a := New(l, still{}, config.New)
	first := Change{ID: "1", By: "ada", Path: "/workspaces/w", Body: workspace(1)}
	res, err := a.Apply(ctx, first)
	assert.NilError(t, err)
	assert.Equal(t, res.Version, uint64(1))
	t.Run("the same change again changes nothing", func(t *testing.T) {
		again, err := a.Apply(ctx, first)
		assert.NilError(t, err)
		assert.Equal(t, again.Version, uint64(1))
		assert.Equal(t, l.puts, 1)
	})
	t.Run("a conflict shows the version and who", func(t *testing.T) {
		_, err := a.Apply(ctx, Change{ID: "2", Path: "/workspaces/w", Body: workspace(2)})
		c, ok := IsConflict(err)
		assert.Assert(t, ok, "%v", err)
		assert.Equal(t, c.Version, uint64(1))
		assert.Equal(t, c.By, "ada")
	})
	t.Run("a dry run says what would change", func(t *testing.T) {
		res, err := a.Apply(ctx, Change{ID: "3", Path: "/workspaces/w", Want: 1, Body: workspace(2), DryRun: true})
		assert.NilError(t, err)
		assert.DeepEqual(t, res.Diff, []string{"/limits/concurrency changed"})
		assert.Equal(t, l.puts, 1)
	})
	t.Run("a bad document names the member", func(t *testing.T) {
		_, err := a.Apply(ctx, Change{ID: "4", Path: "/workspaces/w", Want: 1, Body: workspace(0)})
		check.Field(t, err, "/limits/concurrency", "from 1")
		assert.Equal(t, l.puts, 1)
	})
	t.Run("a deletion is a version too", func(t *testing.T) {
		res, err := a.Apply(ctx, Change{ID: "5", Path: "/workspaces/w", Want: 1})
		assert.NilError(t, err)
		assert.Equal(t, res.Version, uint64(2))
		v, _, err := a.Read(ctx, "/workspaces/w")
		assert.NilError(t, err)
		assert.Assert(t, len(v.Body) == 0 && len(v.Changes) == 2)
	})
	t.Run("the system's document can't be deleted", func(t *testing.T) {
		_, err := a.Apply(ctx, Change{ID: "6", Path: config.SystemPath})
		check.Field(t, err, "", "can't be deleted")
	})
}

func TestHistoryIsBounded(t *testing.T) {
	l := &lossy{next: healthy}
	a := New(l, still{}, config.New)
	for n := range spread.MaxChanges + 5 {
		_, err := a.Apply(context.Background(), Change{ID: fmt.Sprint(n), Path: "/workspaces/w", Want: uint64(n), Body: workspace(n + 1)})
		assert.NilError(t, err)
	}
	v, _, err := a.Read(context.Background(), "/workspaces/w")
	assert.NilError(t, err)
	assert.Equal(t, len(v.Changes), spread.MaxChanges)
	assert.Equal(t, v.Changes[0].ID, "5")
}

func TestDiff(t *testing.T) {
	got := Diff([]byte(`{"a":1,"b":{"c":[1,2]},"d":3}`), []byte(`{"a":1,"b":{"c":[1,5,6]},"e/f":0}`))
	assert.DeepEqual(t, got, []string{"/b/c/1 changed", "/b/c/2 added", "/d removed", "/e~1f added"})
}
