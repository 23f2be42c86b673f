// Command stress lays out fleets of processes on loopback addresses, sends load
// to them, injects faults, and checks every response. The last line of its output
// is a JSON summary; its exit status is non-zero if a guarantee was violated.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	root := &cobra.Command{Use: "stress", Short: "Run load tests with faults against a fleet of processes", SilenceUsage: true}
	root.AddCommand(newPlan(), newList(), newRun(), newControl(), newCost(), newClaims(), newSoak())
	if err := root.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

// printLine writes a result as one line of JSON.
func printLine(c *cobra.Command, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	fmt.Fprintln(c.OutOrStdout(), string(data))
	return nil
}
