package share

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net/netip"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"umberladder/internal/peer/link"
	"umberladder/internal/peer/wire"
	"umberladder/internal/state/follow"
)

// maxData is the largest document that is taken, in bytes.
const maxData = 16 << 20

// Client fetches what other VMs share. It is safe for use by several goroutines.
type Client struct {
	dialer *link.Dialer
}

// NewClient makes a client over a dialer.
func NewClient(d *link.Dialer) *Client { return &Client{dialer: d} }

func (c *Client) get(ctx context.Context, from netip.AddrPort, path string) (*fasthttp.Response, error) {
	var req fasthttp.Request
	resp := &fasthttp.Response{}
	req.Header.SetMethod(fasthttp.MethodGet)
	req.SetRequestURI("http://" + from.String() + path)
	// The context bounds the whole exchange, so no silence of its own does.
	if err := c.dialer.Do(ctx, from, &req, resp, link.Options{Body: maxData, Idle: time.Hour}); err != nil {
		return nil, trace.Wrap(err)
	}
	if code := resp.StatusCode(); code != fasthttp.StatusOK {
		return nil, trace.Errorf("VM %s: %s: status %d", from, path, code)
	}
	return resp, nil
}

// Settings fetches the settings in force at another VM.
func (c *Client) Settings(ctx context.Context, from netip.AddrPort) (Settings, error) {
	resp, err := c.get(ctx, from, pathSettings)
	if err != nil {
		return Settings{}, err
	}
	version, err := strconv.ParseUint(string(resp.Header.Peek(headerVersion)), 10, 64)
	if err != nil {
		return Settings{}, trace.Wrap(err, "%s", headerVersion)
	}
	age, err := strconv.ParseInt(string(resp.Header.Peek(headerAge)), 10, 64)
	if err != nil {
		return Settings{}, trace.Wrap(err, "%s", headerAge)
	}
	if age < 0 {
		return Settings{}, trace.BadParameter("%s: want a number of at least 0, got %d", headerAge, age)
	}
	r, err := gzip.NewReader(bytes.NewReader(resp.Body()))
	if err != nil {
		return Settings{}, trace.Wrap(err)
	}
	data, err := io.ReadAll(io.LimitReader(r, maxData))
	return Settings{Data: data, Version: version, Age: time.Duration(age)}, trace.Wrap(err)
}

// Servers fetches all servers that another VM knows.
func (c *Client) Servers(ctx context.Context, from netip.AddrPort) (follow.News, error) {
	resp, err := c.get(ctx, from, pathServers)
	if err != nil {
		return follow.News{}, err
	}
	n, err := wire.DecodeNews(resp.Body())
	if err != nil {
		return follow.News{}, trace.Wrap(err)
	}
	return *n, nil
}
