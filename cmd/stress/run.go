package main

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"umberladder/internal/fake/record"
	"umberladder/internal/load/drive"
)

var errBroken = errors.New("a promise was broken")

func newRun() *cobra.Command {
	var flags fleetFlags
	var seed uint64
	mix := drive.DefaultMix()
	c := &cobra.Command{
		Use:   "run",
		Short: "Send a mixture of requests to a running fleet and check every answer",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			f, err := flags.fleet()
			if err != nil {
				return err
			}
			run := drive.Send(c.Context(), f.VMs, mix.Orders(seed), seed)
			runs, err := record.Read(f.Records())
			if err != nil {
				return err
			}
			s := run.Summarise(runs)
			line, err := json.Marshal(s)
			if err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), string(line))
			if !s.Held() {
				return errBroken
			}
			return nil
		},
	}
	flags.add(c)
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the requests")
	c.Flags().Float64Var(&mix.Rate, "rate", mix.Rate, "requests a second")
	c.Flags().IntVar(&mix.Requests, "requests", mix.Requests, "how many requests")
	return c
}
