// Command stress lays out fleets of processes on loopback addresses, drives
// load against them, brings about failures, and checks every answer. Its last
// line is a one-line JSON summary; it exits non-zero on a broken promise.
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
	root := &cobra.Command{Use: "stress", Short: "Drive load and failures against a fleet of processes", SilenceUsage: true}
	root.AddCommand(newPlan(), newList(), newRun(), newControl(), newCost(), newClaims(), newSoak())
	if err := root.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

// printLine prints a result as one line of JSON.
func printLine(c *cobra.Command, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	fmt.Fprintln(c.OutOrStdout(), string(data))
	return nil
}
