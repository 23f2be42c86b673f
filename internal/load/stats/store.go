package stats

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"

	"github.com/gravitational/trace"
)

// StoreCalls counts the calls that the platform's key-value store has received.
type StoreCalls struct {
	Calls   map[string]int // by client
	Peak    int            // calls in the busiest second
	Refused int            // calls over the store's rate limits
}

// Total returns the number of calls of all clients.
func (c *StoreCalls) Total() int {
	sum := 0
	for _, n := range c.Calls {
		sum += n
	}
	return sum
}

// FetchStoreCalls reads the counters of the fake store at addr.
func FetchStoreCalls(ctx context.Context, addr netip.AddrPort) (*StoreCalls, error) {
	c := &StoreCalls{}
	err := getJSON(ctx, fmt.Sprintf("http://%s/calls", addr), c)
	return c, err
}

func getJSON(ctx context.Context, url string, out any) error {
	body, err := getBody(ctx, url)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	return trace.Wrap(json.NewDecoder(body).Decode(out))
}

// getBody sends a GET request and returns the response body, which the caller must
// close.
func getBody(ctx context.Context, url string) (io.ReadCloser, error) {
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
