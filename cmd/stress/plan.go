package main

import (
	"github.com/spf13/cobra"

	"umberladder/internal/load/plan"
)

// fleetFlags holds the flags that describe a fleet.
type fleetFlags struct {
	dir       string
	profile   string
	vms       int
	net       int
	placement string
	reserve   float64
	verbose   bool
	engines   int
	withProxy bool
}

func (f *fleetFlags) add(c *cobra.Command) {
	c.Flags().StringVar(&f.dir, "dir", "run", "directory of the fleet's files")
	c.Flags().StringVar(&f.profile, "profile", "demo", "deployment profile: demo, cistern-row or liinirike")
	c.Flags().IntVar(&f.vms, "vms", 7, "number of entry VMs")
	c.Flags().IntVar(&f.net, "net", 10, "loopback network 127.NET.0.0")
	c.Flags().StringVar(&f.placement, "placement", "predicted", "placement policy for generations")
	c.Flags().Float64Var(&f.reserve, "reserve", 0.1, "share of engine memory that is reserved for urgent calls")
	c.Flags().IntVar(&f.engines, "engines", 0, "number of engines; 0: as in the profile")
	c.Flags().BoolVar(&f.withProxy, "copy", false, "add a pass-through proxy for engine 1")
	c.Flags().BoolVar(&f.verbose, "verbose", false, "VMs log every request")
}

func (f *fleetFlags) fleet() (*plan.Fleet, error) {
	p, err := plan.FindProfile(f.profile)
	if err != nil {
		return nil, err
	}
	if f.engines > 0 {
		p.Engines = f.engines
	}
	fleet, err := plan.New(f.dir, p, f.vms, f.net)
	if err != nil {
		return nil, err
	}
	fleet.Placement = f.placement
	fleet.Reserve = f.reserve
	fleet.Verbose = f.verbose
	if f.withProxy {
		fleet.AddProxy()
	}
	return fleet, nil
}

func newPlan() *cobra.Command {
	var flags fleetFlags
	c := &cobra.Command{
		Use:     "plan",
		Short:   "Write the settings and process list of a fleet",
		Example: "  stress plan --dir run && scripts/fleet.sh start run bin",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			f, err := flags.fleet()
			if err != nil {
				return err
			}
			return f.Write()
		},
	}
	flags.add(c)
	return c
}
