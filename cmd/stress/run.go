package main

import (
	"errors"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"umberladder/internal/load/drive"
	"umberladder/internal/load/scene"
)

var errViolation = errors.New("a guarantee was violated")

func newList() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the scenes",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			for _, s := range scene.All() {
				fmt.Fprintf(t, "%s\t%s\n", s.Name, s.Description)
			}
			return t.Flush()
		},
	}
}

func newRun() *cobra.Command {
	var flags fleetFlags
	var seed uint64
	mix := drive.DefaultMix()
	c := &cobra.Command{
		Use:     "run SCENE",
		Short:   "Run a scene on a running fleet and check every response",
		Example: "  stress run calm --requests 300\n  stress run pairs --seed 7 --duration 10m",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := scene.Find(args[0])
			if err != nil {
				return err
			}
			f, err := flags.fleet()
			if err != nil {
				return err
			}
			res, err := s.Run(c.Context(), f, mix, seed)
			if err != nil {
				return err
			}
			if err := printLine(c, res); err != nil {
				return err
			}
			if !res.Passed {
				return errViolation
			}
			return nil
		},
	}
	flags.add(c)
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the requests and faults")
	c.Flags().Float64Var(&mix.Rate, "rate", mix.Rate, "requests per second")
	c.Flags().IntVar(&mix.Requests, "requests", 0, "number of requests; 0: until the duration is over")
	c.Flags().DurationVar(&mix.Duration, "duration", 30*time.Second, "how long requests are sent and faults injected")
	return c
}
