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

	"umberladder/internal/peer/httpc"
	"umberladder/internal/peer/wire"
	"umberladder/internal/state/follow"
	"umberladder/internal/state/routes"
)

const (
	// maxResponseSize is the maximum size of a response body, in bytes.
	maxResponseSize = 16 << 20
	// idleTimeout is the longest time without data from a VM that responds. VMs respond
	// within a few milliseconds, and a frozen or unreachable VM must not delay a fetch
	// that another VM could serve. The total time of a response is not limited, since it
	// depends on the size.
	idleTimeout = 400 * time.Millisecond
)

// ErrNotAvailable is returned if the VM does not have the requested data, or not
// yet.
var ErrNotAvailable = errors.New("share: the VM does not have the requested data")

// BusyError is returned if the VM has reached its send limit.
type BusyError struct {
	Alternatives []netip.AddrPort // VMs that the VM has sent the same data to
}

func (e *BusyError) Error() string {
	return fmt.Sprintf("share: the VM has reached its send limit; %d other VMs have the data or are receiving it", len(e.Alternatives))
}

// Is reports whether target is follow.ErrPeersBusy.
func (e *BusyError) Is(target error) bool { return target == follow.ErrPeersBusy }

// Client fetches settings and server lists from other VMs. It is safe for concurrent use.
type Client struct {
	dialer *httpc.Dialer
	self   netip.AddrPort
}

// NewClient returns a client that dials with d. The address self is where this VM's own
// Server listens.
func NewClient(d *httpc.Dialer, self netip.AddrPort) *Client { return &Client{dialer: d, self: self} }

func (c *Client) get(ctx context.Context, from netip.AddrPort, path string) (*fasthttp.Response, error) {
	var req fasthttp.Request
	resp := &fasthttp.Response{}
	req.Header.SetMethod(fasthttp.MethodGet)
	req.SetRequestURI("http://" + from.String() + path)
	req.Header.Set(headerFrom, c.self.String())
	if err := c.dialer.Do(ctx, from, &req, resp, httpc.Options{MaxBody: maxResponseSize, IdleTimeout: idleTimeout}); err != nil {
		return nil, trace.Wrap(err)
	}
	switch code := resp.StatusCode(); code {
	case fasthttp.StatusOK:
		return resp, nil
	case fasthttp.StatusNotFound:
		return nil, ErrNotAvailable
	case fasthttp.StatusServiceUnavailable:
		return nil, parseBusy(string(resp.Header.Peek(headerOthers)))
	default:
		return nil, trace.Errorf("VM %s: %s: status %d", from, path, code)
	}
}

// parseBusy returns a BusyError with the addresses in the header value list.
func parseBusy(list string) error {
	e := &BusyError{}
	for text := range strings.SplitSeq(list, ",") {
		if text == "" {
			continue
		}
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return trace.Wrap(err, "%s", headerOthers)
		}
		e.Alternatives = append(e.Alternatives, addr)
	}
	return e
}

// Settings fetches the settings in force at another VM, if their version is at least
// minVersion.
func (c *Client) Settings(ctx context.Context, from netip.AddrPort, minVersion uint64) (Settings, error) {
	resp, err := c.get(ctx, from, pathSettings+"?"+argMinVersion+"="+strconv.FormatUint(minVersion, 10))
	if err != nil {
		return Settings{}, err
	}
	version, err := strconv.ParseUint(string(resp.Header.Peek(headerVersion)), 10, 64)
	if err != nil {
		return Settings{}, trace.Wrap(err, "%s", headerVersion)
	}
	age, err := parseAge(resp)
	if err != nil {
		return Settings{}, err
	}
	return Settings{Compressed: resp.Body(), Version: version, Age: age}, nil
}

// parseAge returns the age in the response's header.
func parseAge(resp *fasthttp.Response) (time.Duration, error) {
	age, err := strconv.ParseInt(string(resp.Header.Peek(headerAge)), 10, 64)
	if err != nil {
		return 0, trace.Wrap(err, "%s", headerAge)
	}
	if age < 0 {
		return 0, trace.BadParameter("%s: want a number of at least 0, got %d", headerAge, age)
	}
	return time.Duration(age), nil
}

// Servers fetches the complete server list of another VM.
func (c *Client) Servers(ctx context.Context, from netip.AddrPort) (follow.Update, error) {
	resp, err := c.get(ctx, from, pathServers)
	if err != nil {
		return follow.Update{}, err
	}
	age, err := parseAge(resp)
	if err != nil {
		return follow.Update{}, err
	}
	_, data, err := routes.Decompress(resp.Body())
	if err != nil {
		return follow.Update{}, trace.Wrap(err)
	}
	update, err := wire.DecodeServerUpdate(data)
	if err != nil {
		return follow.Update{}, trace.Wrap(err)
	}
	update.Age = age
	return *update, nil
}
