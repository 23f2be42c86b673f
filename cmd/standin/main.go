// Command standin runs small fakes of external systems: the platform's key-value
// store and VM list, model engines, and plain servers. They are for tests and
// measurements only.
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

	"umberladder/internal/fake/engine"
	"umberladder/internal/fake/plain"
	"umberladder/internal/fake/proxy"
	"umberladder/internal/fake/runlog"
	"umberladder/internal/fake/store"
	"umberladder/internal/fake/vmlist"
	"umberladder/internal/state/syncer"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	root := &cobra.Command{Use: "standin", Short: "Run a fake of an external system", SilenceUsage: true}
	root.AddCommand(newPlatform(), newEngine(), newPlain(), newProxy())
	if err := root.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

// server serves requests on a listener until its context ends.
type server interface {
	Serve(ctx context.Context, ln net.Listener) error
}

func listen(addr string) (net.Listener, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, trace.BadParameter("want an IP address with a port, got %q", addr)
	}
	if !a.Addr().IsLoopback() {
		return nil, trace.BadParameter("fakes listen on loopback addresses only, not on %s", addr)
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

// serveAll starts a server with its own run log for each NAME=ADDRESS, and waits
// for all of them to end.
func serveAll(ctx context.Context, g *errgroup.Group, addrs []string, dir string, build func(string, *runlog.Log) server) error {
	for _, arg := range addrs {
		name, addr, err := splitNameAddr(arg)
		if err != nil {
			return err
		}
		runLog, err := openRunLog(dir, name)
		if err != nil {
			return err
		}
		if err := serveOn(ctx, g, addr, build(name, runLog)); err != nil {
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
		Short: "Run the key-value store and the VM list, which lags",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			g, ctx := errgroup.WithContext(c.Context())
			table, err := newTable(docs)
			if err != nil {
				return err
			}
			list, err := newVMList(vms)
			if err != nil {
				return err
			}
			if err := serveOn(ctx, g, storeAddr, store.New(table, seed)); err != nil {
				return err
			}
			if err := serveOn(ctx, g, listAddr, list.WithLag(lag)); err != nil {
				return err
			}
			return g.Wait()
		},
	}
	c.Flags().StringVar(&storeAddr, "store", "127.0.0.2:7000", "address of the key-value store")
	c.Flags().StringVar(&listAddr, "vm-list", "127.0.0.2:7001", "address of the VM list")
	c.Flags().DurationVar(&lag, "lag", 2*time.Second, "delay of changes in the VM list")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the choice of lost replies")
	c.Flags().StringArrayVar(&docs, "settings", nil, "PATH=FILE of an initial settings document; may be repeated")
	c.Flags().StringArrayVar(&vms, "vm", nil, "NAME=ADDRESS=DOMAIN of a VM on the list; may be repeated")
	return c
}

func newEngine() *cobra.Command {
	cfg := engine.DefaultConfig("")
	var addrs []string
	var runLogDir string
	c := &cobra.Command{
		Use:     "engine",
		Short:   "Run model engines, one per address",
		Example: "  standin engine --at engine-1=127.0.0.3:9001 --at engine-2=127.0.0.3:9002",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			g, ctx := errgroup.WithContext(c.Context())
			return serveAll(ctx, g, addrs, runLogDir, func(name string, runLog *runlog.Log) server {
				engineCfg := cfg
				engineCfg.Name = name
				e := engine.New(engineCfg, runLog)
				g.Go(func() error { return e.Run(ctx) })
				return e
			})
		},
	}
	c.Flags().StringArrayVar(&addrs, "at", nil, "NAME=ADDRESS of an engine; may be repeated")
	c.Flags().StringVar(&runLogDir, "records", "", "directory for the run logs")
	c.Flags().IntVar(&cfg.MemoryTokens, "memory", cfg.MemoryTokens, "memory of an engine, in tokens")
	c.Flags().IntVar(&cfg.MaxBatch, "batch", cfg.MaxBatch, "maximum batch size, in streams")
	c.Flags().DurationVar(&cfg.StepBase, "step", cfg.StepBase, "base time of a step")
	c.Flags().DurationVar(&cfg.StepPerStream, "step-stream", cfg.StepPerStream, "time that each stream adds to a step")
	c.Flags().BoolVar(&cfg.CheckFencing, "fencing", false, "refuse commands with an old fencing number")
	c.Flags().DurationVar(&cfg.ReportLag, "report-lag", cfg.ReportLag, "age of the load reports")
	return c
}

func newPlain() *cobra.Command {
	var addrs []string
	var runLogDir string
	c := &cobra.Command{
		Use:   "plain",
		Short: "Run plain HTTP servers, one per address",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			g, ctx := errgroup.WithContext(c.Context())
			return serveAll(ctx, g, addrs, runLogDir, func(name string, runLog *runlog.Log) server {
				return plain.New(name, runLog)
			})
		},
	}
	c.Flags().StringArrayVar(&addrs, "at", nil, "NAME=ADDRESS of a server; may be repeated")
	c.Flags().StringVar(&runLogDir, "records", "", "directory for the run logs")
	return c
}

// newTable returns a store table that holds the settings documents.
func newTable(docs []string) (*store.Table, error) {
	t := store.NewTable()
	for _, arg := range docs {
		path, file, ok := strings.Cut(arg, "=")
		if !ok {
			return nil, trace.BadParameter("want PATH=FILE, got %q", arg)
		}
		body, err := os.ReadFile(file)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		v := syncer.Value{Body: body}
		data, err := v.Encode()
		if err != nil {
			return nil, trace.Wrap(err, "%s", file)
		}
		t.Put(syncer.Prefix+path, data, 0, 0, time.Now())
	}
	return t, nil
}

func newVMList(vms []string) (*vmlist.List, error) {
	list := vmlist.New()
	for _, vm := range vms {
		fields := strings.Split(vm, "=")
		if len(fields) != 3 {
			return nil, trace.BadParameter("want NAME=ADDRESS=DOMAIN, got %q", vm)
		}
		list.Set(vmlist.VM{Name: fields[0], Address: fields[1], FailureDomain: fields[2]})
	}
	return list, nil
}

// openRunLog opens the run log of one fake server. Without a directory it is kept
// in memory only.
func openRunLog(dir, name string) (*runlog.Log, error) {
	if dir == "" {
		return runlog.New(), nil
	}
	runLog, err := runlog.Open(filepath.Join(dir, name+".runs"))
	return runLog, trace.Wrap(err)
}

// newProxy returns the command that runs a pass-through proxy for an engine, as a
// baseline for measurements.
func newProxy() *cobra.Command {
	var addr, engineArg string
	c := &cobra.Command{
		Use:   "copy",
		Short: "Run a pass-through proxy for one engine, as a baseline for measurements",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			engineAddr, err := netip.ParseAddrPort(engineArg)
			if err != nil {
				return trace.BadParameter("--engine: want an IP address with a port, got %q", engineArg)
			}
			g, ctx := errgroup.WithContext(c.Context())
			if err := serveOn(ctx, g, addr, proxy.New(engineAddr)); err != nil {
				return err
			}
			return g.Wait()
		},
	}
	c.Flags().StringVar(&addr, "at", "", "address to listen on")
	c.Flags().StringVar(&engineArg, "engine", "", "address of the engine")
	return c
}

func splitNameAddr(arg string) (string, string, error) {
	name, addr, ok := strings.Cut(arg, "=")
	if !ok || name == "" {
		return "", "", fmt.Errorf("want NAME=ADDRESS, got %q", arg)
	}
	return name, addr, nil
}
