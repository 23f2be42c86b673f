package gauge

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"

	"github.com/gravitational/trace"
)

// StoreCalls is what the platform's key-value service was asked so far.
type StoreCalls struct {
	Calls   map[string]int // by caller
	Peak    int            // calls in the busiest second
	Refused int            // over the service's rates
}

// Total returns the calls of all callers.
func (c *StoreCalls) Total() int {
	sum := 0
	for _, n := range c.Calls {
		sum += n
	}
	return sum
}

// Store asks the stand-in of the platform's service for its counts.
func Store(ctx context.Context, addr netip.AddrPort) (*StoreCalls, error) {
	c := &StoreCalls{}
	err := fetch(ctx, fmt.Sprintf("http://%s/calls", addr), c)
	return c, err
}

func fetch(ctx context.Context, url string, into any) error {
	body, err := open(ctx, url)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	return trace.Wrap(json.NewDecoder(body).Decode(into))
}

// open returns the body of what is at a URL, to be closed.
func open(ctx context.Context, url string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return resp.Body, nil
}
