package cmds

import (
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"umberladder/internal/policy/hold"
	"umberladder/internal/proc/conf"
	"umberladder/internal/proc/serve"
)

func newServe() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "serve --config FILE",
		Short: "Serve callers on this VM until told to stop, and then until every request has ended",
		Example: "  umberladder serve --config vm-1.json\n" +
			"  kill -TERM PID    # leave gracefully: no request is cut off",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			cfg, err := conf.Read(file)
			if err != nil {
				return withExitCode(ExitInvalid, err)
			}
			log, err := newLogger(cfg.LogLevel)
			if err != nil {
				return withExitCode(ExitInvalid, err)
			}
			defer func() { _ = log.Sync() }()
			debug.SetMemoryLimit(int64(hold.RuntimeMemory(cfg.Memory)))
			vm, err := serve.New(cfg, log)
			if err != nil {
				return withExitCode(ExitFailure, err)
			}
			stop, cancel := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer cancel()
			return withExitCode(ExitFailure, vm.Run(stop))
		},
	}
	c.Flags().StringVar(&file, "config", "", "the node settings, a JSON file")
	_ = c.MarkFlagRequired("config")
	return c
}

func newLogger(level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(l)
	cfg.Sampling = nil
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncoderConfig.EncodeDuration = zapcore.StringDurationEncoder
	return cfg.Build()
}
