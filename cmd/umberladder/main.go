// Command umberladder serves model generations and plain calls on an entry VM,
// and is the operators' command line.
package main

import (
	"os"

	"umberladder/internal/proc/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
