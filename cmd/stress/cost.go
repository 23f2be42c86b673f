package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"umberladder/internal/fake/prompt"
	"umberladder/internal/load/gauge"
	"umberladder/internal/load/plan"
)

// costWire is what relaying costs a process.
type costWire struct {
	Process         string  `json:"process"`
	Tokens          int     `json:"tokens"`
	Bytes           int64   `json:"bytes"`
	CPUSeconds      float64 `json:"cpu-seconds"`
	MicrosPerToken  float64 `json:"cpu-microseconds-per-token"`
	TokensPerSecond float64 `json:"tokens-per-second-of-a-core"`
}

func newCost() *cobra.Command {
	var flags fleetFlags
	var streams, tokens int
	c := &cobra.Command{
		Use:   "cost",
		Short: "Measure the processor time of a relayed token, against a bare copy of the same streams",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			flags.withCopy = true
			f, err := flags.fleet()
			if err != nil {
				return err
			}
			o := prompt.Order{Tokens: tokens, Seed: 1}
			for _, target := range []relay{viaVM(f, o), viaCopy(f, o)} {
				row, err := target.run(c.Context(), f, streams, tokens)
				if err != nil {
					return err
				}
				if err := printLine(c, row); err != nil {
					return err
				}
			}
			return nil
		},
	}
	flags.add(c)
	c.Flags().IntVar(&streams, "streams", 32, "streams at once")
	c.Flags().IntVar(&tokens, "tokens", 400, "tokens of each stream")
	return c
}

// relay is a process that streams pass through.
type relay struct {
	name string
	addr netip.AddrPort
	path string
	body func(i int) []byte
}

func viaVM(f *plan.Fleet, o prompt.Order) relay {
	return relay{name: f.VMs[0].Name, addr: f.VMs[0].Address, path: "/v1/completions", body: func(int) []byte {
		data, _ := json.Marshal(map[string]any{"model": plan.Proposals, "prompt": o.Prompt(), "stream": true})
		return data
	}}
}

func viaCopy(f *plan.Fleet, o prompt.Order) relay {
	return relay{name: "copy", addr: f.Proxy, path: "/v1/generations", body: func(i int) []byte {
		data, _ := json.Marshal(map[string]any{"id": fmt.Sprint("copy-", time.Now().UnixNano(), i), "prompt": o.Prompt()})
		return data
	}}
}

func (r *relay) run(ctx context.Context, f *plan.Fleet, streams, tokens int) (*costWire, error) {
	row := &costWire{Process: r.name, Tokens: streams * tokens}
	before, err := gauge.CPUTime(f, r.name)
	if err != nil {
		return nil, err
	}
	sizes := make([]int64, streams)
	var g errgroup.Group
	for i := range streams {
		g.Go(func() error {
			n, err := r.stream(ctx, i)
			sizes[i] = n
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	after, err := gauge.CPUTime(f, r.name)
	if err != nil {
		return nil, err
	}
	for _, n := range sizes {
		row.Bytes += n
	}
	row.CPUSeconds = (after - before).Seconds()
	row.MicrosPerToken = row.CPUSeconds * 1e6 / float64(row.Tokens)
	row.TokensPerSecond = float64(row.Tokens) / row.CPUSeconds
	return row, nil
}

func (r *relay) stream(ctx context.Context, i int) (int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.addr.String()+r.path, bytes.NewReader(r.body(i)))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+plan.CallerKey(plan.Installers))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("%s answers %d", r.name, resp.StatusCode)
	}
	return io.Copy(io.Discard, resp.Body)
}
