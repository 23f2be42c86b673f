package cmds

import (
	"fmt"
	"io"
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"umberladder/internal/proc/reqlog"
)

func newTrace() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "trace ID [FILE...]",
		Short: "Print one request's story from the logs of the VMs, in order",
		Long: "Reads logs of any number of VMs, or standard input, and prints the lines of one request and those\n" +
			"that tell what its VM believed at that time. Clock differences between VMs are taken out. Lines that\n" +
			"can't be read are counted on standard error.",
		Example: "  umberladder trace 9c41d07be2a35f68 logs/*.log\n" +
			"  umberladder trace 9c41d07be2a35f68 --json <all.log | jq .reason",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			r := reqlog.New(args[0])
			if err := readLogs(r, args[1:], c.InOrStdin()); err != nil {
				return withExitCode(ExitFailure, err)
			}
			printBadLines(c.ErrOrStderr(), r.BadLines())
			lines := r.Timeline()
			if len(lines) == 0 {
				return withExitCode(ExitFailure, trace.NotFound("no line of the logs names request %s", args[0]))
			}
			printTimeline(c.OutOrStdout(), lines, asJSON)
			return nil
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print the lines as they were logged")
	return c
}

func readLogs(r *reqlog.Reader, files []string, in io.Reader) error {
	if len(files) == 0 {
		return r.Read("standard input", in)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		err = r.Read(name, f)
		_ = f.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

// printBadLines prints the number of lines that could not be parsed, and the first of
// them.
func printBadLines(w io.Writer, bad []reqlog.BadLine) {
	if len(bad) == 0 {
		return
	}
	fmt.Fprintf(w, "%d lines passed over, the first: %s:%d: %v\n", len(bad), bad[0].File, bad[0].Line, bad[0].Err)
}

func printTimeline(w io.Writer, lines []reqlog.Line, asJSON bool) {
	for _, l := range lines {
		if asJSON {
			fmt.Fprintln(w, l.Raw)
			continue
		}
		mark := " "
		if l.Request != "" {
			mark = "*"
		}
		fmt.Fprintf(w, "%s %s %-18s %s %s\n", l.At.Format("15:04:05.000"), mark, l.VM, l.Message, l.Raw)
	}
}
