package share

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"umberladder/internal/peer/link"
	"umberladder/internal/peer/wire"
	"umberladder/internal/state/follow"
	"umberladder/internal/state/routes"
)

const (
	// maxData is the largest answer that is taken, in bytes.
	maxData = 16 << 20
	// silence is how long a VM may say nothing while it answers. VMs answer within
	// a few milliseconds; one that is frozen or cut off must not hold up those that
	// could ask another. What an answer takes beyond that depends on its size.
	silence = 400 * time.Millisecond
)

// ErrNotYet says that a VM does not have what it was asked for.
var ErrNotYet = errors.New("share: the VM does not have it")

// BusyError says that a VM has as much to send as its link carries.
type BusyError struct {
	Others []netip.AddrPort // VMs that it has sent the same to
}

func (e *BusyError) Error() string {
	return fmt.Sprintf("share: the VM is busy, %d others have it or will soon", len(e.Others))
}

// Client fetches what other VMs share. It is safe for use by several goroutines.
type Client struct {
	dialer *link.Dialer
	own    netip.AddrPort
}

// NewClient makes a client over a dialer, of the VM that shares at own.
func NewClient(d *link.Dialer, own netip.AddrPort) *Client { return &Client{dialer: d, own: own} }

func (c *Client) get(ctx context.Context, from netip.AddrPort, path string) (*fasthttp.Response, error) {
	var req fasthttp.Request
	resp := &fasthttp.Response{}
	req.Header.SetMethod(fasthttp.MethodGet)
	req.SetRequestURI("http://" + from.String() + path)
	req.Header.Set(headerFrom, c.own.String())
	if err := c.dialer.Do(ctx, from, &req, resp, link.Options{Body: maxData, Idle: silence}); err != nil {
		return nil, trace.Wrap(err)
	}
	switch code := resp.StatusCode(); code {
	case fasthttp.StatusOK:
		return resp, nil
	case fasthttp.StatusNotFound:
		return nil, ErrNotYet
	case fasthttp.StatusServiceUnavailable:
		return nil, busy(string(resp.Header.Peek(headerOthers)))
	default:
		return nil, trace.Errorf("VM %s: %s: status %d", from, path, code)
	}
}

// busy reads the addresses that a busy VM names.
func busy(list string) error {
	e := &BusyError{}
	for text := range strings.SplitSeq(list, ",") {
		if text == "" {
			continue
		}
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return trace.Wrap(err, "%s", headerOthers)
		}
		e.Others = append(e.Others, addr)
	}
	return e
}

// Settings fetches the settings in force at another VM, if they are of a version
// or a later one.
func (c *Client) Settings(ctx context.Context, from netip.AddrPort, least uint64) (Settings, error) {
	resp, err := c.get(ctx, from, pathSettings+"?"+argLeast+"="+strconv.FormatUint(least, 10))
	if err != nil {
		return Settings{}, err
	}
	version, err := strconv.ParseUint(string(resp.Header.Peek(headerVersion)), 10, 64)
	if err != nil {
		return Settings{}, trace.Wrap(err, "%s", headerVersion)
	}
	age, err := ageOf(resp)
	if err != nil {
		return Settings{}, err
	}
	return Settings{Packed: resp.Body(), Version: version, Age: age}, nil
}

// ageOf reads the age of what a VM shares.
func ageOf(resp *fasthttp.Response) (time.Duration, error) {
	age, err := strconv.ParseInt(string(resp.Header.Peek(headerAge)), 10, 64)
	if err != nil {
		return 0, trace.Wrap(err, "%s", headerAge)
	}
	if age < 0 {
		return 0, trace.BadParameter("%s: want a number of at least 0, got %d", headerAge, age)
	}
	return time.Duration(age), nil
}

// Servers fetches all servers that another VM knows.
func (c *Client) Servers(ctx context.Context, from netip.AddrPort) (follow.News, error) {
	resp, err := c.get(ctx, from, pathServers)
	if err != nil {
		return follow.News{}, err
	}
	age, err := ageOf(resp)
	if err != nil {
		return follow.News{}, err
	}
	_, data, err := routes.Unpack(resp.Body())
	if err != nil {
		return follow.News{}, trace.Wrap(err)
	}
	n, err := wire.DecodeNews(data)
	if err != nil {
		return follow.News{}, trace.Wrap(err)
	}
	n.Age = age
	return *n, nil
}
