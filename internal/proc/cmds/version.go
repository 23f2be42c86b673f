package cmds

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"

	"umberladder/internal/core/ident"
)

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version this program was built from",
		Args:  cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			fmt.Fprintln(c.OutOrStdout(), version())
		},
	}
}

func newKey() *cobra.Command {
	return &cobra.Command{
		Use:   "key",
		Short: "Print a new idempotency key, a UUID of version 7, to be used at once",
		Args:  cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			fmt.Fprintln(c.OutOrStdout(), ident.NewRequest())
		},
	}
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "umberladder (unknown build)"
	}
	commit := "unknown"
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			commit = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			commit += " with changes"
		}
	}
	return fmt.Sprintf("umberladder %s, commit %s, %s", info.Main.Version, commit, info.GoVersion)
}
