package cmds

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"umberladder/internal/proc/remote"
)

const keyVariable = "UMBERLADDER_KEY"

// Forms of output.
const (
	formTable = "table"
	formJSON  = "json"
	formPage  = "page"
)

func remoteFlags(c *cobra.Command, vm *remote.VM) {
	c.Flags().StringVar(&vm.Address, "server", "127.0.0.1:8081", "operators' address of any VM")
	c.Flags().StringVar(&vm.Key, "key", os.Getenv(keyVariable), "operators' key; by default "+keyVariable)
}

// failed gives an error of a call the exit code it means.
func failed(err error) error {
	var s *remote.StatusError
	if !errors.As(err, &s) {
		return exit(ExitFailure, err)
	}
	switch s.Status {
	case fasthttp.StatusPreconditionFailed:
		return exit(ExitConflict, err)
	case fasthttp.StatusGatewayTimeout:
		return exit(ExitUnknown, err)
	case fasthttp.StatusUnprocessableEntity, fasthttp.StatusBadRequest:
		return exit(ExitInvalid, err)
	default:
		return exit(ExitFailure, err)
	}
}

// output is the form of what a command prints.
type output struct {
	form string
}

func (o *output) flags(c *cobra.Command, forms string) {
	c.Flags().StringVar(&o.form, "output", formTable, "form of the output: "+forms)
}

// show prints what is at a path of the VM: as it came, or as a table.
func (o *output) show(c *cobra.Command, vm *remote.VM, path string, table func(io.Writer, *remote.Answer) error) error {
	if err := o.check(formTable, formJSON); err != nil {
		return err
	}
	a, err := vm.Get(path)
	if err != nil {
		return failed(err)
	}
	if o.form == formJSON {
		fmt.Fprintf(c.OutOrStdout(), "%s\n", a.Body)
		return nil
	}
	return table(c.OutOrStdout(), a)
}

func (o *output) check(forms ...string) error {
	for _, f := range forms {
		if o.form == f {
			return nil
		}
	}
	return exit(ExitUsage, trace.BadParameter("--output: want one of %v, got %q", forms, o.form))
}
