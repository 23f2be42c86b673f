package share

import (
	"context"
	"crypto/rand"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"umberladder/internal/peer/link"
	"umberladder/internal/state/backs"
	"umberladder/internal/state/follow"
)

// vm has something to share, or nothing.
type vm struct {
	settings *Settings
	news     *follow.News
}

func (v *vm) Settings() (Settings, bool) {
	if v.settings == nil {
		return Settings{}, false
	}
	return *v.settings, true
}

func (v *vm) Servers() (follow.News, bool) {
	if v.news == nil {
		return follow.News{}, false
	}
	return *v.news, true
}

// serve starts a server and returns its address and a client.
func serve(t *testing.T, v *vm) (netip.AddrPort, *Client) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	NewServer(v, zap.NewNop()).Serve(ctx, ln, &g)
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, g.Wait())
	})
	return netip.MustParseAddrPort(ln.Addr().String()), NewClient(link.New(netip.Addr{}, time.Second, time.Minute, 0))
}

func TestShare(t *testing.T) {
	ctx := context.Background()
	v := &vm{}
	addr, c := serve(t, v)
	t.Run("nothing is known yet", func(t *testing.T) {
		_, err := c.Settings(ctx, addr)
		assert.ErrorContains(t, err, "status 404")
		_, err = c.Servers(ctx, addr)
		assert.ErrorContains(t, err, "status 404")
	})
	t.Run("settings, and then newer ones", func(t *testing.T) {
		for version := range uint64(3) {
			want := Settings{Data: []byte(strings.Repeat("route ", int(1000*(version+1)))), Version: version, Age: time.Duration(version) * time.Second}
			v.settings = &want
			got, err := c.Settings(ctx, addr)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, want)
		}
	})
	t.Run("settings that would fill the VM's link", func(t *testing.T) {
		data := make([]byte, 2*maxShared)
		_, err := rand.Read(data)
		assert.NilError(t, err)
		v.settings = &Settings{Data: data, Version: 9}
		_, err = c.Settings(ctx, addr)
		assert.ErrorContains(t, err, "status 413")
	})
	t.Run("servers", func(t *testing.T) {
		want := follow.News{Rev: 7, Changes: []follow.Change{
			{Rev: 7, Entry: backs.Entry{ID: "a", Service: "s", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Domain: "d", Slots: 3}},
			{Rev: 7, Entry: backs.Entry{ID: "b", Service: "s", Addr: netip.MustParseAddrPort("10.0.0.2:80"), Domain: "d", Slots: 3, Leaving: true}},
		}}
		v.news = &want
		got, err := c.Servers(ctx, addr)
		assert.NilError(t, err)
		assert.Equal(t, got.Rev, want.Rev)
		assert.Equal(t, len(got.Changes), 2)
		for i := range want.Changes {
			assert.Equal(t, got.Changes[i], want.Changes[i])
		}
	})
	t.Run("no VM there", func(t *testing.T) {
		_, err := c.Servers(ctx, netip.MustParseAddrPort("127.0.0.1:1"))
		assert.Assert(t, err != nil)
	})
}
