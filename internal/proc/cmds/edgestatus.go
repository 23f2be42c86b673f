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
	return o.print(c, &opapi.Client{Address: address}, "/status", writeEdgeTable)
}

func writeEdgeTable(w io.Writer, resp *opapi.Response) error {
	status := resp.JSON()
	if !status.Exists("vm") {
		// The listener of a VM without this path responds with its metrics.
		return withExitCode(ExitFailure, trace.BadParameter("the response is no status; the VM may run an older version"))
	}
	return withExitCode(ExitFailure, report.WriteTable(w, status))
}
