// Command trial runs one case of the review: it starts edge VMs as processes against
// stand-ins of the platform, servers and clients, and checks one rule.
//
// It exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case could
// not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	maxDuration = 100 * time.Second
)

// trial is one case. Its run returns the violations of the rule that it has seen.
type trial struct {
	vms int
	run func(ctx context.Context, f *fleet, trouble bool) (violations []string, err error)
}

var trials = map[string]trial{
	"garble":  {vms: 3, run: runGarble},
	"stop":    {vms: 3, run: runStop},
	"flood":   {vms: 3, run: runFlood},
	"rollout": {vms: 3, run: runRollout},
	"resume":  {vms: 3, run: runResume},
}

func main() { os.Exit(run()) }

func run() int {
	program := flag.String("program", "target/umberladder", "path of the umberladder program")
	dir := flag.String("dir", "", "directory for settings and logs")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "cause the disruption")
	flag.Parse()
	t, ok := trials[flag.Arg(0)]
	if !ok {
		fmt.Fprintf(os.Stderr, "trial: unknown case %q\n", flag.Arg(0))
		return exitNotRun
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	ctx, cancelTimeout := context.WithTimeout(ctx, maxDuration)
	defer cancelTimeout()
	rec, err := newRecorder(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "trial:", err)
		return exitNotRun
	}
	violations, err := runTrial(ctx, t, *program, *dir, rec, *trouble)
	code := exitHeld
	switch {
	case err != nil:
		rec.add("not run: %v", err)
		code = exitNotRun
	case len(violations) > 0:
		code = exitBroken
	}
	for _, v := range violations {
		rec.add("violation: %s", v)
	}
	rec.add("trouble=%t violations=%d exit=%d", *trouble, len(violations), code)
	if err := rec.close(); err != nil {
		fmt.Fprintln(os.Stderr, "trial:", err)
		return exitNotRun
	}
	fmt.Fprintf(os.Stderr, "%s: trouble=%t violations=%d exit=%d\n", flag.Arg(0), *trouble, len(violations), code)
	return code
}

func runTrial(ctx context.Context, t trial, program, dir string, rec *recorder, trouble bool) ([]string, error) {
	f, err := startFleet(ctx, program, dir, t.vms, rec)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	return t.run(ctx, f, trouble)
}
