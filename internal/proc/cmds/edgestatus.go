package cmds

import (
	"io"
	"net/netip"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"umberladder/internal/proc/opapi"
	"umberladder/internal/proc/report"
)

// printEdgeStatus prints the status of a platform's VM, given its metrics-address. No key is sent,
// because the listener needs none.
func printEdgeStatus(c *cobra.Command, o *outputFormat, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return withExitCode(ExitUsage, trace.BadParameter("--edge: want an IP address with a port, got %q", address))
	}
	return o.printChecked(c, &opapi.Client{Address: address}, "/status", checkEdgeStatus, writeEdgeTable)
}

// checkEdgeStatus returns an error if the response is no status: the listener of a VM without this
// path responds with its metrics.
func checkEdgeStatus(resp *opapi.Response) error {
	if !resp.JSON().Exists("vm") {
		return withExitCode(ExitFailure, trace.BadParameter("the response is no status; the VM may run an older version"))
	}
	return nil
}

func writeEdgeTable(w io.Writer, resp *opapi.Response) error {
	return withExitCode(ExitFailure, report.WriteTable(w, resp.JSON()))
}
