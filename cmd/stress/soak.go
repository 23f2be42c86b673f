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
		Short: "Run edge VMs as processes before stand-ins of the platform, with failures from outside",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			bad := 0
			for range seeds {
				rep, err := soak.Run(c.Context(), cfg)
				if err != nil {
					return trace.Wrap(err)
				}
				if err := printLine(c, rep); err != nil {
					return err
				}
				bad += len(rep.Violations)
				cfg.Seed++
			}
			if bad > 0 {
				return trace.Errorf("%d promises broken", bad)
			}
			return nil
		},
	}
	f := c.Flags()
	f.Uint64Var(&cfg.Seed, "seed", 1, "the first seed")
	f.IntVar(&seeds, "seeds", 1, "how many seeds, one after the other")
	f.DurationVar(&cfg.Duration, "duration", 12*time.Second, "of each seed")
	f.IntVar(&cfg.VMs, "vms", 4, "edge VMs")
	f.IntVar(&cfg.Servers, "servers", 6, "model engines; half as many plain servers")
	f.IntVar(&cfg.Clients, "clients", 24, "clients")
	f.IntVar(&cfg.Routes, "routes", 0, "routes that the settings grow to, beside those that are called")
	f.BoolVar(&cfg.StoreRestores, "drills", false, "have the store come back from copies, too")
	f.BoolVar(&cfg.Crashes, "crashes", false, "have requests end servers, and servers announce drains and pauses in answers")
	f.StringVar(&cfg.Program, "program", "bin/umberladder", "the program")
	f.StringVar(&cfg.Dir, "dir", "run/soak", "where settings and logs go")
	return c
}
