package routes

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/call"
	"umberladder/internal/core/ident"
	"umberladder/internal/core/uptime"
)

// TestPast checks what is remembered of earlier settings for the streams of a route's paths.
func TestPast(t *testing.T) {
	const (
		long  = 40 * time.Second
		short = 2 * time.Second
	)
	stream := func(name, prefix string, timeout time.Duration, service ident.Service) *Route {
		return &Route{
			Name: name, Host: "H", Prefix: prefix, Kind: call.Stream, Timeout: timeout, Resumable: true,
			Shares: []Share{{Service: service, Weight: 1}},
		}
	}
	once := func(name, prefix string) *Route {
		r := stream(name, prefix, long, "s")
		r.Resumable = false
		return r
	}
	for name, tc := range map[string]struct {
		versions [][]*Route // ten seconds apart
		want     Past       // of the first route of the last version
	}{
		"the first settings":     {versions: [][]*Route{{stream("a", "/a/", long, "s")}}},
		"nothing changes":        {versions: [][]*Route{{stream("a", "/a/", long, "s")}, {stream("a", "/a/", long, "s")}}},
		"a longer timeout":       {versions: [][]*Route{{stream("a", "/a/", short, "s")}, {stream("a", "/a/", long, "s")}}},
		"a shorter timeout":      {versions: [][]*Route{{stream("a", "/a/", long, "s")}, {stream("a", "/a/", short, "s")}}, want: Past{Lifetime: 2 * long}},
		"a short one for 10 s":   {versions: [][]*Route{{stream("a", "/a/", long, "s")}, {stream("a", "/a/", short, "s")}, {stream("a", "/a/", short+1, "s")}}, want: Past{Lifetime: 2 * long}},
		"another service":        {versions: [][]*Route{{stream("a", "/a/", long, "s")}, {stream("a", "/a/", long, "t")}}, want: Past{Lifetime: 2 * long, Moved: true}},
		"there and back":         {versions: [][]*Route{{stream("a", "/a/", long, "s")}, {stream("a", "/a/", long, "t")}, {stream("a", "/a/", long, "s")}}, want: Past{Lifetime: 2 * long, Moved: true}},
		"another name":           {versions: [][]*Route{{stream("a", "/a/", long, "s")}, {stream("b", "/a/", short, "s")}}, want: Past{Lifetime: 2 * long}},
		"a longer prefix":        {versions: [][]*Route{{stream("a", "/a/", long, "t")}, {stream("b", "/a/b/", short, "s"), stream("a", "/a/", long, "t")}}, want: Past{Lifetime: 2 * long, Moved: true}},
		"a longer prefix ends":   {versions: [][]*Route{{stream("a", "/a/", short, "s"), stream("b", "/a/b/", long, "s")}, {stream("a", "/a/", short, "s")}}, want: Past{Lifetime: 2 * long}},
		"new paths":              {versions: [][]*Route{{stream("b", "/b/", long, "t")}, {stream("a", "/a/", short, "s"), stream("b", "/b/", long, "t")}}},
		"it becomes resumable":   {versions: [][]*Route{{once("a", "/a/")}, {stream("a", "/a/", short, "t")}}},
		"renamed over two steps": {versions: [][]*Route{{stream("a", "/a/", long, "s")}, {stream("a", "/a/", short, "s")}, {stream("b", "/a/b/", short, "s")}}, want: Past{Lifetime: 2 * long}},
	} {
		t.Run(name, func(t *testing.T) {
			now := uptime.Instant(time.Hour)
			c := NewCurrent(func() uptime.Instant { return now })
			for n, list := range tc.versions {
				now = now.Add(10 * time.Second)
				c.Update(New(Parts{Version: uint64(n + 1), Routes: list}), now)
			}
			r := tc.versions[len(tc.versions)-1][0]
			assert.Equal(t, c.Past(r), tc.want)
			now = now.Add(2 * long)
			assert.Equal(t, c.Past(r), Past{}, "no stream of that time is under way")
		})
	}
	t.Run("it ends while other settings change", func(t *testing.T) {
		now := uptime.Instant(time.Hour)
		c := NewCurrent(func() uptime.Instant { return now })
		c.Update(New(Parts{Version: 1, Routes: []*Route{stream("a", "/a/", long, "t")}}), now)
		for n := range 2 + int(2*long/(10*time.Second)) {
			r := stream("a", "/a/", short, "s")
			c.Update(New(Parts{Version: uint64(n + 2), Routes: []*Route{r}}), now)
			assert.Equal(t, c.Past(r) != Past{}, n*10 < int((2*long).Seconds()), "after %d s", n*10)
			now = now.Add(10 * time.Second)
		}
	})
	t.Run("a VM that has started since learns it from another one", func(t *testing.T) {
		now := uptime.Instant(time.Hour)
		clock := func() uptime.Instant { return now }
		older, started := NewCurrent(clock), NewCurrent(clock)
		r := stream("a", "/a/", short, "s")
		older.Update(New(Parts{Version: 1, Routes: []*Route{stream("a", "/a/", long, "t")}}), now)
		older.Update(New(Parts{Version: 2, Routes: []*Route{r}}), now)
		now = now.Add(10 * time.Second)
		started.Update(New(Parts{Version: 2, Routes: []*Route{r}}), now)
		assert.Equal(t, started.Past(r), Past{})
		started.AddPasts(older.Pasts())
		assert.Equal(t, started.Past(r), Past{Lifetime: 2 * long, Moved: true})
		renamed := stream("b", "/a/b/", short, "s")
		started.Update(New(Parts{Version: 3, Routes: []*Route{renamed}}), now)
		assert.Equal(t, started.Past(renamed), Past{Lifetime: 2 * long, Moved: true}, "after further changes")
		now = now.Add(2*long - 10*time.Second)
		assert.Equal(t, started.Past(renamed), Past{}, "no stream of that time is under way")
		assert.Equal(t, len(older.Pasts()), 0)
	})
	t.Run("what is over does not count again once another VM adds to it", func(t *testing.T) {
		now := uptime.Instant(time.Hour)
		c := NewCurrent(func() uptime.Instant { return now })
		r := stream("a", "/a/", long, "s")
		c.Update(New(Parts{Version: 1, Routes: []*Route{stream("a", "/a/", long, "t")}}), now)
		c.Update(New(Parts{Version: 2, Routes: []*Route{r}}), now)
		now = now.Add(2 * long)
		c.AddPasts([]PathPast{{Host: "h", Prefix: "/a/", Past: Past{Lifetime: 2 * long}}})
		assert.Equal(t, c.Past(r), Past{Lifetime: 2 * long})
	})
	t.Run("it is announced that a route leads to other services", func(t *testing.T) {
		c := NewCurrent(func() uptime.Instant { return uptime.Instant(time.Hour) })
		for n, tc := range []struct {
			service ident.Service
			moved   bool
		}{{"s", false}, {"s", false}, {"t", true}, {"t", false}} {
			c.Update(New(Parts{Version: uint64(n + 1), Routes: []*Route{stream("a", "/a/", long, tc.service)}}), 0)
			assert.Equal(t, len(c.Moved()) == 1, tc.moved, "version %d", n+1)
			if tc.moved {
				<-c.Moved()
			}
		}
	})
	t.Run("what is over is dropped", func(t *testing.T) {
		now := uptime.Instant(time.Hour)
		c := NewCurrent(func() uptime.Instant { return now })
		for n := range 100 {
			c.Update(New(Parts{Version: uint64(n + 1), Routes: []*Route{stream("a", fmt.Sprintf("/%d/", n), long, "s"), stream("b", "/", short, "s")}}), now)
			now = now.Add(10 * time.Second)
		}
		assert.Assert(t, len(*c.past.Load()) <= int(2*long/(10*time.Second))+2, "%d", len(*c.past.Load()))
	})
}
