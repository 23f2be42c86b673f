package gauge

import (
	"context"
	"encoding/json"
	"fmt"
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
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return trace.Wrap(json.NewDecoder(resp.Body).Decode(into))
}
