package main

import (
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"umberladder/internal/load/soak"
)

func newSoak() *cobra.Command {
	cfg := soak.Config{}
	seeds := 1
	c := &cobra.Command{
		Use:   "soak --program bin/umberladder",
		Short: "Run edge VMs as processes against fakes of the platform, with injected faults",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			violations := 0
			for range seeds {
				rep, err := soak.Run(c.Context(), cfg)
				if err != nil {
					return trace.Wrap(err)
				}
				if err := printLine(c, rep); err != nil {
					return err
				}
				violations += len(rep.Violations)
				cfg.Seed++
			}
			if violations > 0 {
				return trace.Errorf("%d guarantees violated", violations)
			}
			return nil
		},
	}
	f := c.Flags()
	f.Uint64Var(&cfg.Seed, "seed", 1, "first seed")
	f.IntVar(&seeds, "seeds", 1, "number of seeds, run one after the other")
	f.DurationVar(&cfg.Duration, "duration", 12*time.Second, "duration of each seed's run")
	f.IntVar(&cfg.VMs, "vms", 4, "number of edge VMs")
	f.IntVar(&cfg.Servers, "servers", 6, "number of model engines; there are half as many plain servers")
	f.IntVar(&cfg.Clients, "clients", 24, "number of clients")
	f.IntVar(&cfg.Routes, "routes", 0, "number of additional routes that the settings grow to")
	f.BoolVar(&cfg.StoreRestores, "drills", false, "also restore the store from backup copies")
	f.BoolVar(&cfg.Evacuations, "evacuations", false, "also have operators evacuate a failure domain")
	f.BoolVar(&cfg.Ends, "ends", false, "also have servers send close-delimited responses, break off inside events, and end in the middle of responses")
	f.BoolVar(&cfg.Spoils, "spoils", false, "also have servers send bytes that are no response, or have no end")
	f.BoolVar(&cfg.Heads, "heads", false, "also have servers send responses with a broken head")
	f.BoolVar(&cfg.Versions, "versions", false, "also roll engines to other versions of their software and back, and have clients take streams up at other VMs")
	f.BoolVar(&cfg.Cuts, "cuts", false, "also cut VMs off from all servers, and make plain servers brittle")
	f.BoolVar(&cfg.Crashes, "crashes", false, "also have requests crash servers, and servers announce drains and pauses in responses")
	f.BoolVar(&cfg.Parts, "parts", false, "also have parts of prompts crash servers, beside sound requests with the same other parts")
	f.BoolVar(&cfg.Floods, "floods", false, "also have a balancer hand most new connections to one VM")
	f.BoolVar(&cfg.Uneven, "uneven", false, "also have servers differ in speed, and slow some down for a time")
	f.BoolVar(&cfg.Shares, "shares", false, "also have one workspace send several times what the others send, and change priorities of workspaces")
	f.StringVar(&cfg.Program, "program", "bin/umberladder", "path of the umberladder program")
	f.StringVar(&cfg.Dir, "dir", "run/soak", "directory for settings and logs")
	return c
}
