package cmds

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"umberladder/internal/proc/conf"
	"umberladder/internal/proc/opapi"
	"umberladder/internal/state/config"
)

func newSettings() *cobra.Command {
	c := &cobra.Command{
		Use:   "settings",
		Short: "Check, read and change settings",
	}
	c.AddCommand(newCheck(), newGet(), newPut(), newHistory())
	return c
}

func newCheck() *cobra.Command {
	var as string
	c := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check settings files offline",
		Long: "Check settings files offline: those of a node (umberladder serve) or of an edge VM\n" +
			"(umberladder edge), the system's document or a workspace's. The kind is told by\n" +
			"--as, or else by the members of the file.",
		Example: "  umberladder settings check vm-1.json edge-1.json system.json\n" +
			"  umberladder settings check --as workspace installers.json",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			var firstErr error
			for _, file := range files {
				kind, err := checkFile(file, as)
				if err != nil {
					fmt.Fprintf(c.OutOrStdout(), "%s: %s\n", file, trace.UserMessage(err))
					if firstErr == nil {
						firstErr = fmt.Errorf("%s is not valid", file)
					}
					continue
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: valid %s settings\n", file, kind)
			}
			return withExitCode(ExitInvalid, firstErr)
		},
	}
	c.Flags().StringVar(&as, "as", "", "kind of the files: node, edge, system or workspace")
	return c
}

// checkFile checks one settings file and returns its kind.
func checkFile(file, kind string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	if kind == "" {
		kind = detectKind(data)
	}
	switch kind {
	case "node":
		_, err = conf.Parse(data)
	case "edge":
		_, err = conf.ParseEdge(data)
	case "system":
		_, err = config.ParseSystem(data, 0)
	case "workspace":
		_, err = config.ParseWorkspace("check", data, 0)
	default:
		err = trace.BadParameter("--as: want node, edge, system or workspace, got %q", kind)
	}
	return kind, err
}

// detectKind guesses a document's kind from a member that only this kind has.
func detectKind(data []byte) string {
	switch {
	case strings.Contains(string(data), `"ready-address"`):
		return "edge"
	case strings.Contains(string(data), `"callers-address"`):
		return "node"
	case strings.Contains(string(data), `"classes"`):
		return "system"
	default:
		return "workspace"
	}
}

func newGet() *cobra.Command {
	var client opapi.Client
	var o outputFormat
	c := &cobra.Command{
		Use:   "get [PATH]",
		Short: "Print the document in force at a path, or list the paths",
		Example: "  umberladder settings get --server 127.0.0.1:8081\n" +
			"  umberladder settings get /workspaces/installers",
		Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) == 0 {
				return o.print(c, &client, "/v1/settings", printPaths)
			}
			resp, err := client.Get("/v1/settings" + args[0])
			if err != nil {
				return withCallExitCode(err)
			}
			fmt.Fprintf(c.ErrOrStderr(), "version %s\n", strings.Trim(resp.ETag, `"`))
			fmt.Fprintf(c.OutOrStdout(), "%s\n", resp.Body)
			return nil
		},
	}
	addRemoteFlags(c, &client)
	o.addFlag(c, "table or json")
	return c
}

func printPaths(w io.Writer, resp *opapi.Response) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "PATH\tVERSION")
	for _, v := range resp.JSON().GetArray() {
		fmt.Fprintf(t, "%s\t%d\n", v.GetStringBytes("path"), v.GetUint64("version"))
	}
	return trace.Wrap(t.Flush())
}

// putFlags holds the flags of the put command.
type putFlags struct {
	from   int64
	change string
	by     string
	dryRun bool
}

func newPut() *cobra.Command {
	var client opapi.Client
	var flags putFlags
	c := &cobra.Command{
		Use:   "put PATH FILE",
		Short: "Replace the document at a path, if nobody changed it since it was read",
		Long: "Replace the document at a path, if nobody changed it since it was read.\n" +
			"Exit codes: 0 in force or accepted, 3 not valid, 4 another change came first,\n" +
			"5 not known: run the same command again with the same --change.",
		Example: "  umberladder settings put /workspaces/installers installers.json --from 12\n" +
			"  umberladder settings put /system system.json --from 3 --dry-run",
		Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			body, err := os.ReadFile(args[1])
			if err != nil {
				return withExitCode(ExitInvalid, trace.ConvertSystemError(err))
			}
			return flags.put(c.OutOrStdout(), &client, args[0], body)
		},
	}
	addRemoteFlags(c, &client)
	c.Flags().Int64Var(&flags.from, "from", -1, "the version that was read; 0 for a new document")
	c.Flags().StringVar(&flags.change, "change", "", "id of the change; the same id is applied once")
	c.Flags().StringVar(&flags.by, "by", "", "who makes the change, for the history")
	c.Flags().BoolVar(&flags.dryRun, "dry-run", false, "say what would change, and change nothing")
	_ = c.MarkFlagRequired("from")
	return c
}

func (flags *putFlags) put(w io.Writer, client *opapi.Client, path string, body []byte) error {
	if flags.from < 0 {
		return withExitCode(ExitUsage, errors.New("--from: want the version that was read, or 0 for a new document"))
	}
	headers := []string{fasthttp.HeaderIfMatch, fmt.Sprintf(`"%d"`, flags.from)}
	if flags.change != "" {
		headers = append(headers, "Umberladder-Change", flags.change)
	}
	if flags.by != "" {
		headers = append(headers, "Umberladder-Operator", flags.by)
	}
	uri := "/v1/settings" + path
	if flags.dryRun {
		uri += "?dry-run=true"
	}
	resp, err := client.Call(fasthttp.MethodPut, uri, body, headers...)
	if err != nil {
		return withCallExitCode(err)
	}
	if err := resp.CheckStatus(fasthttp.StatusOK); err != nil {
		return withCallExitCode(err)
	}
	v := resp.JSON()
	outcome := "accepted"
	if flags.dryRun {
		outcome = "would be accepted"
	}
	fmt.Fprintf(w, "%s: %s, version %d, change %s\n", path, outcome, v.GetUint64("version"), v.GetStringBytes("change"))
	for _, d := range v.GetArray("diff") {
		fmt.Fprintf(w, "  %s\n", d.GetStringBytes())
	}
	for _, d := range v.GetArray("warnings") {
		fmt.Fprintf(w, "  warning: %s\n", d.GetStringBytes())
	}
	return nil
}

func newHistory() *cobra.Command {
	var client opapi.Client
	var o outputFormat
	c := &cobra.Command{
		Use:     "history PATH",
		Short:   "Print who changed a document, what and when",
		Example: "  umberladder settings history /workspaces/installers",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return o.print(c, &client, "/v1/history"+args[0], printHistory)
		},
	}
	addRemoteFlags(c, &client)
	o.addFlag(c, "table or json")
	return c
}

func printHistory(w io.Writer, resp *opapi.Response) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "AT\tBY\tCHANGE\tWHAT")
	for _, v := range resp.JSON().GetArray("changes") {
		var what []string
		for _, d := range v.GetArray("diff") {
			what = append(what, string(d.GetStringBytes()))
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", v.GetStringBytes("at"), v.GetStringBytes("by"),
			v.GetStringBytes("change"), strings.Join(what, ", "))
	}
	return trace.Wrap(t.Flush())
}
