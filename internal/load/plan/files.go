package plan

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/gravitational/trace"
)

const (
	// ProcessFile lists the processes, one a line: a name, a tab, and the
	// command with the programs' names relative to the folder of programs.
	ProcessFile = "processes.txt"
	// PIDDir holds a file with the process id of each running process.
	PIDDir = "pids"
	// LogDir holds the output of each process.
	LogDir = "logs"
	// RecordDir holds what the stand-ins ran.
	RecordDir = "records"
	ringKey   = "6b1f0a4d2c8e97355b1f0a4d2c8e9735"
)

// object is a JSON object under construction.
type object map[string]any

// Write writes every file of the fleet into its folder.
func (f *Fleet) Write() error {
	for _, dir := range []string{f.Dir, f.path(PIDDir), f.path(LogDir), f.path(RecordDir)} {
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	files := map[string]any{
		"system.json":        f.system(),
		Installers + ".json": f.workspace(Installers, f.installers()),
		Faultdesk + ".json":  f.workspace(Faultdesk, f.faultdesk()),
	}
	for i := range f.VMs {
		files[f.VMs[i].Name+".json"] = f.node(i)
	}
	for name, v := range files {
		data, err := json.Marshal(v, json.Deterministic(true), jsontext.WithIndent("  "))
		if err != nil {
			return trace.Wrap(err)
		}
		if err := os.WriteFile(f.path(name), append(data, '\n'), 0o644); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	return trace.ConvertSystemError(os.WriteFile(f.path(ProcessFile), []byte(f.processes()), 0o644))
}

func (f *Fleet) path(name string) string { return filepath.Join(f.Dir, name) }

func (f *Fleet) node(i int) object {
	level := "warn"
	if f.Verbose {
		level = "info"
	}
	return object{
		"name":              f.VMs[i].Name,
		"failure-domain":    f.VMs[i].Domain,
		"callers-address":   f.VMs[i].Address.String(),
		"operators-address": f.Operators[i].Address.String(),
		"peers-address":     f.Peers[i].Address.String(),
		"store-address":     f.Store.String(),
		"vm-list-address":   f.VMList.String(),
		"key-ring":          []object{{"id": 1, "secret": ringKey}},
		"operator-keys":     []string{hashOf(OperatorKey("system"))},
		"log-level":         level,
		"placement":         f.Placement,
		"limits":            object{"drain-delay": "1s"},
	}
}

func servers(nodes []Node) []object {
	out := make([]object, 0, len(nodes))
	for _, n := range nodes {
		out = append(out, object{"name": n.Name, "address": n.Address.String(), "failure-domain": n.Domain})
	}
	return out
}

func (f *Fleet) system() object {
	return object{
		"operator-keys": []string{hashOf(OperatorKey("system"))},
		"classes": []object{
			{"name": "urgent", "rank": 0, "max-wait": "5s", "reserve": f.Reserve},
			{"name": "standard", "rank": 1, "max-wait": "20s"},
			{"name": "batch", "rank": 2, "max-wait": "60s"},
		},
		"models": []object{{"name": "drafter", "servers": servers(f.Engines)}},
	}
}

func (f *Fleet) workspace(name string, services []object) object {
	return object{
		"caller-keys":   []string{hashOf(CallerKey(name))},
		"operator-keys": []string{hashOf(OperatorKey(name))},
		"limits":        object{"concurrency": 4000},
		"services":      services,
	}
}

func (f *Fleet) installers() []object {
	return []object{
		{"name": Proposals, "kind": "model", "model": "drafter", "class": "standard", "objective": "stall-time"},
		{"name": Questions, "kind": "model", "model": "drafter", "class": "urgent", "objective": "stall-time"},
		{"name": Bookings, "kind": "plain", "servers": servers(f.Plain), "class": "urgent", "at-most-once": true, "timeout": "5s"},
		{"name": Lookups, "kind": "plain", "servers": servers(f.Plain), "class": "urgent", "timeout": "5s"},
	}
}

func (f *Fleet) faultdesk() []object {
	return []object{
		{"name": Proposals, "kind": "model", "model": "drafter", "class": "standard", "objective": "preemptions"},
		{"name": Questions, "kind": "model", "model": "drafter", "class": "urgent", "objective": "preemptions"},
		{"name": Triage, "kind": "model", "model": "drafter", "class": "batch", "at-most-once": true},
		{"name": Bookings, "kind": "plain", "servers": servers(f.Plain), "class": "urgent", "at-most-once": true, "timeout": "5s"},
		{"name": Lookups, "kind": "plain", "servers": servers(f.Plain), "class": "urgent", "timeout": "5s"},
	}
}

// perProcess returns how many engines share a process: one each, unless there
// are so many that they are there only to be known.
func (f *Fleet) perProcess() int {
	if len(f.Engines) <= 20 {
		return 1
	}
	return 64
}

// processes lists the commands, those that others need first.
func (f *Fleet) processes() string {
	var b strings.Builder
	line := func(name, format string, args ...any) {
		fmt.Fprintf(&b, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	vms := ""
	for _, n := range f.Peers {
		vms += fmt.Sprintf(" --vm %s=%s=%s", n.Name, n.Address, n.Domain)
	}
	line("platform", "standin platform --store %s --vm-list %s --settings /system=%s --settings /workspaces/%s=%s --settings /workspaces/%s=%s%s",
		f.Store, f.VMList, f.path("system.json"),
		Installers, f.path(Installers+".json"), Faultdesk, f.path(Faultdesk+".json"), vms)
	for i := 0; i < len(f.Engines); i += f.perProcess() {
		at := ""
		group := f.Engines[i:min(i+f.perProcess(), len(f.Engines))]
		for _, e := range group {
			at += fmt.Sprintf(" --at %s=%s", e.Name, e.Address)
		}
		line(group[0].Name, "standin engine%s --memory %d --batch %d --step %s --records %s",
			at, f.Profile.Memory, f.Profile.Batch, f.Profile.Step, f.path(RecordDir))
	}
	if f.Copy.IsValid() {
		line("copy", "standin copy --at %s --engine %s", f.Copy, f.Engines[0].Address)
	}
	for _, p := range f.Plain {
		line(p.Name, "standin plain --at %s=%s --records %s", p.Name, p.Address, f.path(RecordDir))
	}
	for _, v := range f.VMs {
		line(v.Name, "umberladder serve --config %s", f.path(v.Name+".json"))
	}
	return b.String()
}

// Records lists the files of what the stand-ins ran.
func (f *Fleet) Records() []string {
	var out []string
	for _, n := range append(append([]Node{}, f.Engines...), f.Plain...) {
		out = append(out, filepath.Join(f.path(RecordDir), n.Name+".runs"))
	}
	return out
}
