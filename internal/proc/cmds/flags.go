package cmds

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"umberladder/internal/proc/opapi"
)

const operatorKeyVariable = "UMBERLADDER_KEY"

// Output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
	formatPage  = "page"
)

func addRemoteFlags(c *cobra.Command, client *opapi.Client) {
	c.Flags().StringVar(&client.Address, "server", "127.0.0.1:8081", "operators' address of any VM")
	c.Flags().StringVar(&client.Key, "key", os.Getenv(operatorKeyVariable), "operators' key; by default "+operatorKeyVariable)
}

// withCallExitCode wraps an error of a call to a VM with the exit code for it.
func withCallExitCode(err error) error {
	var s *opapi.StatusError
	if !errors.As(err, &s) {
		return withExitCode(ExitFailure, err)
	}
	switch s.Status {
	case fasthttp.StatusPreconditionFailed:
		return withExitCode(ExitConflict, err)
	case fasthttp.StatusGatewayTimeout:
		return withExitCode(ExitUnknown, err)
	case fasthttp.StatusUnprocessableEntity, fasthttp.StatusBadRequest:
		return withExitCode(ExitInvalid, err)
	default:
		return withExitCode(ExitFailure, err)
	}
}

// outputFormat is the --output flag of a command.
type outputFormat struct {
	format string
}

func (o *outputFormat) addFlag(c *cobra.Command, formats string) {
	c.Flags().StringVar(&o.format, "output", formatTable, "form of the output: "+formats)
}

// print fetches a path from the VM and prints the response as received or as a
// table.
func (o *outputFormat) print(c *cobra.Command, client *opapi.Client, path string, table func(io.Writer, *opapi.Response) error) error {
	return o.printChecked(c, client, path, func(*opapi.Response) error { return nil }, table)
}

// printChecked is print for a response that is checked first, in either format.
func (o *outputFormat) printChecked(c *cobra.Command, client *opapi.Client, path string, check func(*opapi.Response) error, table func(io.Writer, *opapi.Response) error) error {
	if err := o.validate(formatTable, formatJSON); err != nil {
		return err
	}
	resp, err := client.Get(path)
	if err != nil {
		return withCallExitCode(err)
	}
	if err := check(resp); err != nil {
		return err
	}
	if o.format == formatJSON {
		fmt.Fprintf(c.OutOrStdout(), "%s\n", resp.Body)
		return nil
	}
	return table(c.OutOrStdout(), resp)
}

func (o *outputFormat) validate(formats ...string) error {
	for _, f := range formats {
		if o.format == f {
			return nil
		}
	}
	return withExitCode(ExitUsage, trace.BadParameter("--output: want one of %v, got %q", formats, o.format))
}
