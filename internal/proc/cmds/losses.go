package cmds

import (
	"fmt"
	"io"
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"umberladder/internal/proc/losses"
)

func newLosses() *cobra.Command {
	return &cobra.Command{
		Use:   "losses [FILE...]",
		Short: "Summarise from the logs of the VMs which calls were lost and why",
		Long: "Reads logs of any number of VMs, or standard input, and prints by service and kind of call how many\n" +
			"calls ended, which causes the others had, how many streams moved, and the time between their events.",
		Example: "  umberladder losses logs/*.log",
		RunE: func(c *cobra.Command, args []string) error {
			s := losses.New()
			if err := readSummary(s, args, c.InOrStdin()); err != nil {
				return withExitCode(ExitFailure, err)
			}
			if n := s.Unread(); n > 0 {
				_, _ = fmt.Fprintf(c.ErrOrStderr(), "%d lines can't be read\n", n)
			}
			return withExitCode(ExitFailure, s.Print(c.OutOrStdout()))
		},
	}
}

// readSummary adds the files, or standard input if there are none.
func readSummary(s *losses.Summary, files []string, in io.Reader) error {
	if len(files) == 0 {
		return s.Read(in)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		err = s.Read(f)
		_ = f.Close()
		if err != nil {
			return trace.Wrap(err, "%s", name)
		}
	}
	return nil
}
