package cmds

import (
	"fmt"
	"io"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"umberladder/internal/core/refuse"
	"umberladder/internal/core/seal"
	"umberladder/internal/proc/conf"
	"umberladder/internal/proc/reqlog"
)

func newExplain() *cobra.Command {
	var file string
	var fromLog bool
	c := &cobra.Command{
		Use:   "explain {CODE --config FILE | --log}",
		Short: "Explain a refusal from its code or its log line, with nothing else stored",
		Long: "Explain a refusal from its code, with nothing else stored. The key ring of any\n" +
			"node's settings opens it; so does GET /v1/refusals/CODE on any VM.\n" +
			"With --log, explain the refusals in log lines of platform VMs, which are read from\n" +
			"standard input: lines \"call ended\", or their JSON objects. Other lines are skipped.\n" +
			"Exit code 6: the code was not made by this system, or was altered.",
		Example: "  umberladder explain AQc3… --config vm-1.json\n" +
			"  grep '\"request\":\"409ae4137e56edb7\"' logs/*.log | umberladder explain --log",
		Args: func(c *cobra.Command, args []string) error {
			if fromLog {
				return cobra.NoArgs(c, args)
			}
			return cobra.ExactArgs(1)(c, args)
		},
		RunE: func(c *cobra.Command, args []string) error {
			if fromLog {
				return explainLog(c.OutOrStdout(), c.ErrOrStderr(), c.InOrStdin())
			}
			return explainCode(c.OutOrStdout(), file, args[0])
		},
	}
	c.Flags().StringVar(&file, "config", "", "node settings whose key ring opens the code")
	c.Flags().BoolVar(&fromLog, "log", false, "explain the refused calls in log lines from standard input")
	c.MarkFlagsOneRequired("config", "log")
	c.MarkFlagsMutuallyExclusive("config", "log")
	return c
}

// explainCode explains a refusal code, given the settings file with the key ring.
func explainCode(w io.Writer, file, code string) error {
	cfg, err := conf.Read(file)
	if err != nil {
		return withExitCode(ExitInvalid, err)
	}
	ring, err := seal.New(cfg.Secrets)
	if err != nil {
		return withExitCode(ExitInvalid, err)
	}
	r, err := refuse.Decode(ring, code)
	if err != nil {
		return withExitCode(ExitForged, err)
	}
	_, err = fmt.Fprintf(w, "Request %s of workspace %s was refused by VM %s at %s (%s).\n%s\n",
		r.Request, r.Workspace, r.VM, r.At.UTC().Format("2006-01-02 15:04:05.000 UTC"), r.Reason, r.Explain())
	return withExitCode(ExitFailure, trace.Wrap(err))
}

// explainLog explains the refused calls in log lines, with an empty line between two of them.
func explainLog(w, errOut io.Writer, in io.Reader) error {
	n := 0
	skipped, err := reqlog.ReadRefusals(in, func(r *reqlog.Refusal) error {
		if n++; n > 1 {
			if _, err := fmt.Fprintln(w); err != nil {
				return trace.Wrap(err)
			}
		}
		_, err := fmt.Fprintln(w, r.Explain())
		return trace.Wrap(err)
	})
	if err != nil {
		return withExitCode(ExitFailure, err)
	}
	if skipped > 0 {
		_, _ = fmt.Fprintf(errOut, "%d lines are not of refused calls\n", skipped)
	}
	if n == 0 {
		return withExitCode(ExitFailure, trace.NotFound("standard input has no line \"call ended\" of a refused call"))
	}
	return nil
}
