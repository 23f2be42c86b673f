// Command standin runs small stand-ins of what others own: the platform's
// key-value service and VM list, model engines, and plain servers. They are
// for trials and tests only.
package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"umberladder/internal/fake/copier"
	"umberladder/internal/fake/engine"
	"umberladder/internal/fake/plain"
	"umberladder/internal/fake/record"
	"umberladder/internal/fake/roster"
	"umberladder/internal/fake/store"
	"umberladder/internal/state/spread"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	root := &cobra.Command{Use: "standin", Short: "Run a stand-in of what others own", SilenceUsage: true}
	root.AddCommand(newPlatform(), newEngine(), newPlain(), newCopy())
	if err := root.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

// server answers on a listener until its context ends.
type server interface {
	Serve(ctx context.Context, ln net.Listener) error
}

func listen(addr string) (net.Listener, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, trace.BadParameter("want an IP address with a port, got %q", addr)
	}
	if !a.Addr().IsLoopback() {
		return nil, trace.BadParameter("a stand-in listens on loopback addresses only, not on %s", addr)
	}
	ln, err := net.Listen("tcp", addr)
	return ln, trace.Wrap(err)
}

func serveOn(ctx context.Context, g *errgroup.Group, addr string, s server) error {
	ln, err := listen(addr)
	if err != nil {
		return trace.Wrap(err)
	}
	g.Go(func() error { return s.Serve(ctx, ln) })
	return nil
}

// serveAll makes a server for each NAME=ADDRESS, with a record of its own, and
// waits for all to end.
func serveAll(ctx context.Context, g *errgroup.Group, addrs []string, records string, build func(string, *record.Record) server) error {
	for _, at := range addrs {
		name, addr, err := split(at)
		if err != nil {
			return err
		}
		rec, err := openRecord(records, name)
		if err != nil {
			return err
		}
		if err := serveOn(ctx, g, addr, build(name, rec)); err != nil {
			return err
		}
	}
	return g.Wait()
}

func newPlatform() *cobra.Command {
	var storeAddr, listAddr string
	var lag time.Duration
	var seed uint64
	var docs, vms []string
	c := &cobra.Command{
		Use:   "platform",
		Short: "The key-value service and the lagging VM list",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			g, ctx := errgroup.WithContext(c.Context())
			table, err := newTable(docs)
			if err != nil {
				return err
			}
			list, err := newRoster(vms)
			if err != nil {
				return err
			}
			if err := serveOn(ctx, g, storeAddr, store.New(table, seed)); err != nil {
				return err
			}
			if err := serveOn(ctx, g, listAddr, list.Lagging(lag)); err != nil {
				return err
			}
			return g.Wait()
		},
	}
	c.Flags().StringVar(&storeAddr, "store", "127.0.0.2:7000", "address of the key-value service")
	c.Flags().StringVar(&listAddr, "vm-list", "127.0.0.2:7001", "address of the VM list")
	c.Flags().DurationVar(&lag, "lag", 2*time.Second, "how far the VM list lags")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the lost replies")
	c.Flags().StringArrayVar(&docs, "settings", nil, "PATH=FILE of a settings document that is there from the start")
	c.Flags().StringArrayVar(&vms, "vm", nil, "NAME=ADDRESS=DOMAIN of a VM on the list; may be repeated")
	return c
}

func newEngine() *cobra.Command {
	cfg := engine.DefaultConfig("")
	var addrs []string
	var records string
	c := &cobra.Command{
		Use:     "engine",
		Short:   "Model engines, one for each address",
		Example: "  standin engine --at engine-1=127.0.0.3:9001 --at engine-2=127.0.0.3:9002",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			g, ctx := errgroup.WithContext(c.Context())
			return serveAll(ctx, g, addrs, records, func(name string, rec *record.Record) server {
				one := cfg
				one.Name = name
				e := engine.New(one, rec)
				g.Go(func() error { return e.Run(ctx) })
				return e
			})
		},
	}
	c.Flags().StringArrayVar(&addrs, "at", nil, "NAME=ADDRESS of an engine; may be repeated")
	c.Flags().StringVar(&records, "records", "", "folder for the records of what ran")
	c.Flags().IntVar(&cfg.Memory, "memory", cfg.Memory, "tokens of memory")
	c.Flags().IntVar(&cfg.Batch, "batch", cfg.Batch, "most streams in a step")
	c.Flags().DurationVar(&cfg.StepBase, "step", cfg.StepBase, "time of a step")
	c.Flags().DurationVar(&cfg.StepStream, "step-stream", cfg.StepStream, "time added for each stream")
	c.Flags().BoolVar(&cfg.Fencing, "fencing", false, "refuse orders with an old fencing number")
	c.Flags().DurationVar(&cfg.ReportLag, "report-lag", cfg.ReportLag, "age of the load reports")
	return c
}

func newPlain() *cobra.Command {
	var addrs []string
	var records string
	c := &cobra.Command{
		Use:   "plain",
		Short: "Plain HTTP servers, one for each address",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			g, ctx := errgroup.WithContext(c.Context())
			return serveAll(ctx, g, addrs, records, func(name string, rec *record.Record) server {
				return plain.New(name, rec)
			})
		},
	}
	c.Flags().StringArrayVar(&addrs, "at", nil, "NAME=ADDRESS of a server; may be repeated")
	c.Flags().StringVar(&records, "records", "", "folder for the records of what ran")
	return c
}

// newTable returns a table that holds the settings documents.
func newTable(docs []string) (*store.Table, error) {
	t := store.NewTable()
	for _, d := range docs {
		path, file, ok := strings.Cut(d, "=")
		if !ok {
			return nil, trace.BadParameter("want PATH=FILE, got %q", d)
		}
		body, err := os.ReadFile(file)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		v := spread.Value{Body: body}
		data, err := v.Encode()
		if err != nil {
			return nil, trace.Wrap(err, "%s", file)
		}
		t.Put(spread.Prefix+path, data, 0, 0, time.Now())
	}
	return t, nil
}

func newRoster(vms []string) (*roster.Roster, error) {
	r := roster.New()
	for _, vm := range vms {
		part := strings.Split(vm, "=")
		if len(part) != 3 {
			return nil, trace.BadParameter("want NAME=ADDRESS=DOMAIN, got %q", vm)
		}
		r.Set(roster.VM{Name: part[0], Address: part[1], Domain: part[2]})
	}
	return r, nil
}

// openRecord opens the record of one stand-in, in memory without a folder.
func openRecord(dir, name string) (*record.Record, error) {
	if dir == "" {
		return record.New(), nil
	}
	r, err := record.Open(filepath.Join(dir, name+".runs"))
	return r, trace.Wrap(err)
}

// newCopy copies engines' streams and does nothing else, for measurements.
func newCopy() *cobra.Command {
	var addr, to string
	c := &cobra.Command{
		Use:   "copy",
		Short: "A bare copy of one engine's answers, to measure against",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			engineAt, err := netip.ParseAddrPort(to)
			if err != nil {
				return trace.BadParameter("--engine: want an IP address with a port, got %q", to)
			}
			g, ctx := errgroup.WithContext(c.Context())
			if err := serveOn(ctx, g, addr, copier.New(engineAt)); err != nil {
				return err
			}
			return g.Wait()
		},
	}
	c.Flags().StringVar(&addr, "at", "", "address to listen on")
	c.Flags().StringVar(&to, "engine", "", "address of the engine")
	return c
}

func split(at string) (string, string, error) {
	name, addr, ok := strings.Cut(at, "=")
	if !ok || name == "" {
		return "", "", fmt.Errorf("want NAME=ADDRESS, got %q", at)
	}
	return name, addr, nil
}
