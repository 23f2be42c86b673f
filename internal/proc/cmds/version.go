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
	return fmt.Sprintf("umberladder %s %s", info.Main.Version, info.GoVersion)
}
