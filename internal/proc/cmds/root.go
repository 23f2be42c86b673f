// Package cmds implements the command line of umberladder.
package cmds

import (
	"errors"
	"fmt"
	"io"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
)

// Exit codes that scripts can rely on.
const (
	ExitOK       = 0
	ExitFailure  = 1 // the work failed
	ExitUsage    = 2 // the command line is wrong
	ExitInvalid  = 3 // a document or file is not valid
	ExitConflict = 4 // another change came first
	ExitUnknown  = 5 // whether the change took effect is not known yet
	ExitForged   = 6 // a refusal code was not made by this system
)

// exitError is an error with the exit code of the process.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return trace.UserMessage(e.err) }

func (e *exitError) Unwrap() error { return e.err }

func withExitCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code: code, err: err}
}

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(errOut, "umberladder:", err)
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	return ExitUsage
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "umberladder",
		Short: "Serve generations of unknown length on crowded engines",
		Long: "Serve generations of unknown length on crowded engines.\n\n" +
			"Exit codes: 0 done; 1 the work failed; 2 the command line is wrong; 3 a document or\n" +
			"file is not valid; 4 another change came first; 5 whether the change took effect is\n" +
			"not known yet; 6 a refusal code was not made by this system.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newServe(), newEdge(), newSettings(), newStatus(), newExplain(), newReport(), newDrain(), newKey(), newTrace(), newLosses(), newVersion())
	return root
}
