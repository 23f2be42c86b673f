// Command umberladder runs the VMs that serve model generations and plain calls,
// and provides the operators' command line.
package main

import (
	"os"

	"umberladder/internal/proc/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
