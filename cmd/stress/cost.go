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
	"umberladder/internal/load/plan"
	"umberladder/internal/load/stats"
)

// costWire holds the CPU time that a process used to relay streams.
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
		Short: "Measure the CPU time of relaying a token, with a pass-through proxy as baseline",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			flags.withProxy = true
			f, err := flags.fleet()
			if err != nil {
				return err
			}
			spec := prompt.Spec{Tokens: tokens, Seed: 1}
			for _, t := range []target{viaVM(f, spec), viaProxy(f, spec)} {
				result, err := t.measure(c.Context(), f, streams, tokens)
				if err != nil {
					return err
				}
				if err := printLine(c, result); err != nil {
					return err
				}
			}
			return nil
		},
	}
	flags.add(c)
	c.Flags().IntVar(&streams, "streams", 32, "number of concurrent streams")
	c.Flags().IntVar(&tokens, "tokens", 400, "tokens per stream")
	return c
}

// target is a process that relays streams.
type target struct {
	name string
	addr netip.AddrPort
	path string
	body func(i int) []byte
}

func viaVM(f *plan.Fleet, spec prompt.Spec) target {
	return target{name: f.VMs[0].Name, addr: f.VMs[0].Address, path: "/v1/completions", body: func(int) []byte {
		data, _ := json.Marshal(map[string]any{"model": plan.Proposals, "prompt": spec.Prompt(), "stream": true})
		return data
	}}
}

func viaProxy(f *plan.Fleet, spec prompt.Spec) target {
	return target{name: "copy", addr: f.Proxy, path: "/v1/generations", body: func(i int) []byte {
		data, _ := json.Marshal(map[string]any{"id": fmt.Sprint("copy-", time.Now().UnixNano(), i), "prompt": spec.Prompt()})
		return data
	}}
}

func (t *target) measure(ctx context.Context, f *plan.Fleet, streams, tokens int) (*costWire, error) {
	result := &costWire{Process: t.name, Tokens: streams * tokens}
	before, err := stats.CPUTime(f, t.name)
	if err != nil {
		return nil, err
	}
	sizes := make([]int64, streams)
	var g errgroup.Group
	for i := range streams {
		g.Go(func() error {
			n, err := t.stream(ctx, i)
			sizes[i] = n
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	after, err := stats.CPUTime(f, t.name)
	if err != nil {
		return nil, err
	}
	for _, n := range sizes {
		result.Bytes += n
	}
	result.CPUSeconds = (after - before).Seconds()
	result.MicrosPerToken = result.CPUSeconds * 1e6 / float64(result.Tokens)
	result.TokensPerSecond = float64(result.Tokens) / result.CPUSeconds
	return result, nil
}

func (t *target) stream(ctx context.Context, i int) (int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.addr.String()+t.path, bytes.NewReader(t.body(i)))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+plan.ClientKey(plan.Installers))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("%s responded with status %d", t.name, resp.StatusCode)
	}
	return io.Copy(io.Discard, resp.Body)
}
