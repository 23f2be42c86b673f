package cmds

import (
	"cmp"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sync/errgroup"

	"umberladder/internal/core/uptime"
	"umberladder/internal/peer/httpc"
	"umberladder/internal/peer/share"
	"umberladder/internal/policy/hold"
	"umberladder/internal/proc/conf"
	"umberladder/internal/proc/edge"
	"umberladder/internal/proc/logger"
	"umberladder/internal/route/path"
	"umberladder/internal/route/relay"
	"umberladder/platform"
)

const (
	// edgeConfigVariable is the environment variable with the default path of the
	// settings file.
	edgeConfigVariable = "UMBERLADDER_CONFIG"
	// edgeConnectTimeout bounds connection attempts to backend servers and the store.
	// The one-way latency is about 1 ms. A lost SYN is retransmitted only after 1 s,
	// which is later than this bound.
	edgeConnectTimeout = 400 * time.Millisecond
)

func newEdge() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "edge [--config FILE]",
		Short: "Serve a platform's clients on this VM until told to stop",
		Long:  edgeHelp(),
		Example: "  umberladder edge --config edge.json\n" +
			"  kill -TERM PID    # leave gracefully, within the grace time of the settings",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			cfg, err := conf.ReadEdge(file)
			if err != nil {
				return withExitCode(ExitInvalid, err)
			}
			return runEdge(c, cfg, file)
		},
	}
	c.Flags().StringVar(&file, "config", os.Getenv(edgeConfigVariable), "the settings, a JSON file; by default the one that "+edgeConfigVariable+" names")
	return c
}

// edgeHelp returns the long help text, which lists the members of the settings file.
func edgeHelp() string {
	var b strings.Builder
	b.WriteString("Serve a platform's clients on this VM until told to stop. SIGTERM makes it leave\n" +
		"within stop-grace; SIGHUP, or a changed file, has it read its settings anew.\n\nMembers of the settings:\n")
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	for _, m := range conf.EdgeMembers() {
		fmt.Fprintf(t, "  %s\t%s\t%s\n", m.Path, cmp.Or(m.Default, "must be given"), m.Help)
	}
	if err := t.Flush(); err != nil {
		// Writes to a strings.Builder never fail.
		panic(err)
	}
	return b.String()
}

func runEdge(c *cobra.Command, cfg *conf.Edge, file string) error {
	level, err := zapcore.ParseLevel(cfg.LogLevel)
	if err != nil {
		return withExitCode(ExitInvalid, err)
	}
	debug.SetMemoryLimit(int64(hold.RuntimeMemory(cfg.Memory)))
	group := &errgroup.Group{}
	logSink := logger.New(os.Stdout, cfg.LogLinesPerSecond, group)
	defer logSink.Close()
	log := logSink.Logger(level).With(zap.String("vm", string(cfg.Name)))
	dialer := httpc.New(cfg.Clients.Addr(), edgeConnectTimeout, time.Minute, 0)
	store := platform.NewStore(dialer, cfg.Store, log)
	vm := edge.New(cfg, edge.Deps{
		Settings:   store,
		Servers:    store,
		Dialer:     dialer,
		NewBackend: func(c *path.Connector) edge.Backend { return platform.NewServerClient(c) },
		NewIngress: func(r *relay.Relay) edge.Ingress { return platform.NewIngress(r, uptime.Now) },
		Registry:   store,
		Share:      share.NewClient(dialer, cfg.Peers),
		StoreCalls: store.Calls,
		LogSink:    logSink,
	}, group, log)
	stop, cancel := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	group.Go(func() error {
		vm.ReloadOnChange(stop, file, hup)
		return nil
	})
	return withExitCode(ExitFailure, vm.Run(stop, group))
}
