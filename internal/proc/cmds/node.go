package cmds

import (
	"fmt"
	"io"
	"net/url"
	"text/tabwriter"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"umberladder/internal/proc/burn"
	"umberladder/internal/proc/opapi"
)

func newStatus() *cobra.Command {
	var client opapi.Client
	var o outputFormat
	var workspace, edge string
	c := &cobra.Command{
		Use:   "status",
		Short: "Print the state of a VM and the VMs it knows, or what a workspace uses on all of them",
		Long: "Print the state of a VM and the VMs it knows, or what a workspace uses on all of them.\n" +
			"With --edge, print what a platform's VM knows of its services: coordinators, waiting\n" +
			"workspaces and their shares, and the speed of servers.",
		Example: "  umberladder status --server 127.0.0.1:8081\n" +
			"  umberladder status --server 127.0.0.1:8081 --workspace installers\n" +
			"  umberladder status --edge 10.0.0.1:82 --format json",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			switch {
			case c.Flags().Changed("edge"):
				return printEdgeStatus(c, &o, edge)
			case workspace != "":
				return o.print(c, &client, "/v1/status/workspaces/"+url.PathEscape(workspace), printUsage)
			}
			return o.print(c, &client, "/v1/status", printStatus)
		},
	}
	c.Flags().StringVar(&workspace, "workspace", "", "print what this workspace uses of its limits")
	c.Flags().StringVar(&edge, "edge", "", "metrics-address of a platform's VM, in place of --server")
	addRemoteFlags(c, &client)
	c.MarkFlagsMutuallyExclusive("edge", "server")
	c.MarkFlagsMutuallyExclusive("edge", "workspace")
	c.MarkFlagsMutuallyExclusive("edge", "key")
	o.addFlag(c, "table or json")
	c.Flags().StringVar(&o.format, "format", formatTable, "the same as --output")
	c.MarkFlagsMutuallyExclusive("output", "format")
	return c
}

func printStatus(w io.Writer, resp *opapi.Response) error {
	v := resp.JSON()
	fmt.Fprintf(w, "VM %s in %s, ready: %t, settings revision %d, %d claim shards with %d claims\n",
		v.GetStringBytes("vm"), v.GetStringBytes("failure-domain"), v.GetBool("ready"),
		v.GetUint64("settings-revision"), v.GetInt("claim-shards"), v.GetInt("claims"))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "VM\tSTATE\tFAILURE DOMAIN")
	for _, m := range v.GetArray("members") {
		fmt.Fprintf(t, "%s\t%s\t%s\n", m.GetStringBytes("name"), m.GetStringBytes("state"), m.GetStringBytes("failure-domain"))
	}
	return trace.Wrap(t.Flush())
}

func printUsage(w io.Writer, resp *opapi.Response) error {
	v := resp.JSON()
	fmt.Fprintf(w, "workspace %s: %d of %d requests open, limit of %d tokens a second (0: none)\n",
		v.GetStringBytes("workspace"), v.GetInt("open"),
		v.GetInt("limits", "concurrency"), v.GetInt("limits", "tokens-per-second"))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "VM\tOPEN\tSHARE\tTOKENS LEFT\tRATE SHARE\tSETTINGS VERSION")
	for _, m := range v.GetArray("vms") {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\n", m.GetStringBytes("vm"), m.GetInt("open"), m.GetInt("open-share"),
			m.GetInt("tokens-left"), m.GetInt("rate-share"), m.GetInt("settings-version"))
	}
	for _, m := range v.GetArray("silent") {
		name, _ := m.StringBytes()
		fmt.Fprintf(t, "%s\tdoes not answer\n", name)
	}
	return trace.Wrap(t.Flush())
}

func newDrain() *cobra.Command {
	var client opapi.Client
	c := &cobra.Command{
		Use:     "drain",
		Short:   "Make a VM leave gracefully: it ends once every request has ended",
		Example: "  umberladder drain --server 127.0.0.1:8081",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			resp, err := client.Call(fasthttp.MethodPost, "/v1/drain", nil)
			if err != nil {
				return withCallExitCode(err)
			}
			if err := resp.CheckStatus(fasthttp.StatusAccepted); err != nil {
				return withCallExitCode(err)
			}
			fmt.Fprintln(c.OutOrStdout(), "leaving")
			return nil
		},
	}
	addRemoteFlags(c, &client)
	return c
}

func newReport() *cobra.Command {
	c := &cobra.Command{Use: "report", Short: "Print reports"}
	c.AddCommand(newBurnReport())
	return c
}

func newBurnReport() *cobra.Command {
	var client opapi.Client
	var o outputFormat
	var localOnly bool
	c := &cobra.Command{
		Use:   "burn",
		Short: "Print how fast services use up their error budgets",
		Example: "  umberladder report burn --server 127.0.0.1:8081\n" +
			"  umberladder report burn --output page >burn.html",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := o.validate(formatTable, formatJSON, formatPage); err != nil {
				return err
			}
			path := "/v1/burn?merged=true"
			if localOnly {
				path = "/v1/burn"
			}
			resp, err := client.Get(path)
			if err != nil {
				return withCallExitCode(err)
			}
			return printBurn(c.OutOrStdout(), resp, o.format)
		},
	}
	addRemoteFlags(c, &client)
	o.addFlag(c, "table, json or page")
	c.Flags().BoolVar(&localOnly, "one", false, "only this VM's counts, not all VMs'")
	return c
}

func printBurn(w io.Writer, resp *opapi.Response, format string) error {
	if format == formatJSON {
		fmt.Fprintf(w, "%s\n", resp.Body)
		return nil
	}
	rep, err := burn.Decode(resp.Body)
	if err != nil {
		return withExitCode(ExitFailure, err)
	}
	if format == formatPage {
		return withExitCode(ExitFailure, rep.WritePage(w))
	}
	return withExitCode(ExitFailure, rep.WriteTable(w))
}
