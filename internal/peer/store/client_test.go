package store_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	fake "umberladder/internal/fake/store"
	"umberladder/internal/peer/httpc"
	"umberladder/internal/peer/store"
)

func startStore(t *testing.T, perSecond float64, burst int) (*fake.Server, *store.Client) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := fake.New(fake.NewTable(), 1)
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return s.Serve(ctx, ln) })
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, g.Wait())
	})
	d := httpc.New(netip.Addr{}, time.Second, 500*time.Millisecond, 2)
	return s, store.New(d, ln.Addr().(*net.TCPAddr).AddrPort(), "test", perSecond, burst)
}

func TestCompareAndSwap(t *testing.T) {
	ctx := context.Background()
	_, c := startStore(t, 1000, 1000)
	_, err := c.Get(ctx, "/a")
	assert.Assert(t, store.Is(err, store.NotFound), "%v", err)
	rev, err := c.Put(ctx, "/a", []byte("1"), 0, 0)
	assert.NilError(t, err)
	_, err = c.Put(ctx, "/a", []byte("2"), 0, 0)
	assert.Assert(t, store.Is(err, store.Conflict), "%v", err)
	_, err = c.Put(ctx, "/a", []byte("2"), rev, 0)
	assert.NilError(t, err)
	it, err := c.Get(ctx, "/a")
	assert.NilError(t, err)
	assert.Equal(t, string(it.Value), "2")
	assert.NilError(t, c.Delete(ctx, "/a", it.Revision))
	items, _, err := c.List(ctx, "/", rev)
	assert.NilError(t, err)
	assert.Assert(t, len(items) == 1 && items[0].Deleted)
}

func TestLease(t *testing.T) {
	ctx := context.Background()
	_, c := startStore(t, 1000, 1000)
	l, err := c.Grant(ctx, 150*time.Millisecond)
	assert.NilError(t, err)
	_, err = c.Put(ctx, "/held", []byte("x"), 0, l.ID)
	assert.NilError(t, err)
	renewed, err := c.Renew(ctx, l.ID)
	assert.NilError(t, err)
	assert.Assert(t, !renewed.StoreTime.Before(l.StoreTime))
	time.Sleep(250 * time.Millisecond)
	_, err = c.Renew(ctx, l.ID)
	assert.Assert(t, store.Is(err, store.NotFound), "%v", err)
	_, err = c.Get(ctx, "/held")
	assert.Assert(t, store.Is(err, store.NotFound), "the value is deleted when its lease expires")
}

func TestWatch(t *testing.T) {
	ctx := context.Background()
	_, c := startStore(t, 1000, 1000)
	var g errgroup.Group
	var items []store.Item
	g.Go(func() error {
		var err error
		items, _, err = c.Watch(ctx, "/w", 0, 5*time.Second)
		return err
	})
	time.Sleep(50 * time.Millisecond)
	_, err := c.Put(ctx, "/other", nil, 0, 0)
	assert.NilError(t, err)
	_, err = c.Put(ctx, "/w/1", []byte("v"), 0, 0)
	assert.NilError(t, err)
	assert.NilError(t, g.Wait())
	assert.Assert(t, len(items) == 1 && items[0].Path == "/w/1")
	none, rev, err := c.Watch(ctx, "/w", items[0].Revision, 20*time.Millisecond)
	assert.NilError(t, err)
	assert.Assert(t, len(none) == 0 && rev >= items[0].Revision)
}

func TestOutages(t *testing.T) {
	ctx := context.Background()
	s, c := startStore(t, 1000, 1000)
	for name, tc := range map[string]struct {
		faults      fake.Faults
		read, write store.ErrorKind
	}{
		"down":           {fake.Faults{Down: true}, store.Unavailable, store.Unavailable},
		"hanging":        {fake.Faults{Hang: true}, store.Unavailable, store.OutcomeUnknown},
		"losing-replies": {fake.Faults{ReplyLossRatio: 1}, store.NotFound, store.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			s.SetFaults(tc.faults)
			defer s.SetFaults(fake.Faults{})
			_, err := c.Get(ctx, "/none")
			assert.Assert(t, store.Is(err, tc.read), "%v", err)
			_, err = c.Put(ctx, "/"+name, []byte("v"), 0, 0)
			assert.Assert(t, store.Is(err, tc.write), "%v", err)
		})
	}
	it, err := c.Get(ctx, "/losing-replies")
	assert.NilError(t, err, "the write whose reply was lost took effect")
	assert.Equal(t, string(it.Value), "v")
}

func TestBudget(t *testing.T) {
	s, c := startStore(t, 1, 3)
	refused := 0
	for range 10 {
		if _, err := c.Get(context.Background(), "/x"); store.Is(err, store.BudgetExhausted) {
			refused++
		}
	}
	assert.Equal(t, refused, 7)
	assert.Equal(t, s.Counts().Calls["test"], 3)
	assert.Equal(t, c.Calls(), uint64(3))
}
