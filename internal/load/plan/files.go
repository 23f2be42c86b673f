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
	// ProcessListFile is the name of the file that lists the processes, one per
	// line: a name, a tab, and the command. Program names are relative to the
	// directory of programs.
	ProcessListFile = "processes.txt"
	// PIDDir is the directory with one file per running process that holds its
	// process ID.
	PIDDir = "pids"
	// LogDir is the directory for the output of the processes.
	LogDir = "logs"
	// RunLogDir is the directory for the run logs of the fake servers.
	RunLogDir = "records"
	sharedKey = "6b1f0a4d2c8e97355b1f0a4d2c8e9735"
)

// object is a JSON object under construction.
type object map[string]any

// Write writes all files of the fleet into its directory.
func (f *Fleet) Write() error {
	for _, dir := range []string{f.Dir, f.path(PIDDir), f.path(LogDir), f.path(RunLogDir)} {
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	files := map[string]any{
		"system.json":        f.systemSettings(),
		Installers + ".json": f.workspaceSettings(Installers, f.installerServices()),
		FaultDesk + ".json":  f.workspaceSettings(FaultDesk, f.faultDeskServices()),
	}
	for i := range f.VMs {
		files[f.VMs[i].Name+".json"] = f.vmSettings(i)
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
	return trace.ConvertSystemError(os.WriteFile(f.path(ProcessListFile), []byte(f.processList()), 0o644))
}

func (f *Fleet) path(name string) string { return filepath.Join(f.Dir, name) }

func (f *Fleet) vmSettings(i int) object {
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
		"key-ring":          []object{{"id": 1, "secret": sharedKey}},
		"operator-keys":     []string{keyHash(OperatorKey("system"))},
		"log-level":         level,
		"placement":         f.Placement,
		"limits":            object{"drain-delay": "1s"},
	}
}

func serverList(endpoints []Endpoint) []object {
	out := make([]object, 0, len(endpoints))
	for _, e := range endpoints {
		out = append(out, object{"name": e.Name, "address": e.Address.String(), "failure-domain": e.Domain})
	}
	return out
}

func (f *Fleet) systemSettings() object {
	return object{
		"operator-keys": []string{keyHash(OperatorKey("system"))},
		"classes": []object{
			{"name": "urgent", "rank": 0, "max-wait": "5s", "reserve": f.Reserve},
			{"name": "standard", "rank": 1, "max-wait": "20s"},
			{"name": "batch", "rank": 2, "max-wait": "60s"},
		},
		"models": []object{{"name": "drafter", "servers": serverList(f.Engines)}},
	}
}

func (f *Fleet) workspaceSettings(name string, services []object) object {
	return object{
		"caller-keys":   []string{keyHash(ClientKey(name))},
		"operator-keys": []string{keyHash(OperatorKey(name))},
		"limits":        object{"concurrency": 4000},
		"services":      services,
	}
}

func (f *Fleet) installerServices() []object {
	return []object{
		{"name": Proposals, "kind": "model", "model": "drafter", "class": "standard", "objective": "stall-time"},
		{"name": Questions, "kind": "model", "model": "drafter", "class": "urgent", "objective": "stall-time"},
		{"name": Bookings, "kind": "plain", "servers": serverList(f.PlainServers), "class": "urgent", "at-most-once": true, "timeout": "5s"},
		{"name": Lookups, "kind": "plain", "servers": serverList(f.PlainServers), "class": "urgent", "timeout": "5s"},
	}
}

func (f *Fleet) faultDeskServices() []object {
	return []object{
		{"name": Proposals, "kind": "model", "model": "drafter", "class": "standard", "objective": "preemptions"},
		{"name": Questions, "kind": "model", "model": "drafter", "class": "urgent", "objective": "preemptions"},
		{"name": Triage, "kind": "model", "model": "drafter", "class": "batch", "at-most-once": true},
		{"name": Bookings, "kind": "plain", "servers": serverList(f.PlainServers), "class": "urgent", "at-most-once": true, "timeout": "5s"},
		{"name": Lookups, "kind": "plain", "servers": serverList(f.PlainServers), "class": "urgent", "timeout": "5s"},
	}
}

// enginesPerProcess returns how many fake engines share a process: one, or 64 in a
// fleet of more than 20 engines, which only have to be known to the VMs.
func (f *Fleet) enginesPerProcess() int {
	if len(f.Engines) <= 20 {
		return 1
	}
	return 64
}

// processList returns the content of ProcessListFile. Processes that others
// depend on come first.
func (f *Fleet) processList() string {
	var out strings.Builder
	line := func(name, format string, args ...any) {
		fmt.Fprintf(&out, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	vms := ""
	for _, n := range f.Peers {
		vms += fmt.Sprintf(" --vm %s=%s=%s", n.Name, n.Address, n.Domain)
	}
	line("platform", "standin platform --store %s --vm-list %s --settings /system=%s --settings /workspaces/%s=%s --settings /workspaces/%s=%s%s",
		f.Store, f.VMList, f.path("system.json"),
		Installers, f.path(Installers+".json"), FaultDesk, f.path(FaultDesk+".json"), vms)
	for i := 0; i < len(f.Engines); i += f.enginesPerProcess() {
		addrs := ""
		group := f.Engines[i:min(i+f.enginesPerProcess(), len(f.Engines))]
		for _, e := range group {
			addrs += fmt.Sprintf(" --at %s=%s", e.Name, e.Address)
		}
		line(group[0].Name, "standin engine%s --memory %d --batch %d --step %s --records %s",
			addrs, f.Profile.EngineMemory, f.Profile.EngineBatch, f.Profile.EngineStep, f.path(RunLogDir))
	}
	if f.Proxy.IsValid() {
		line("copy", "standin copy --at %s --engine %s", f.Proxy, f.Engines[0].Address)
	}
	for _, p := range f.PlainServers {
		line(p.Name, "standin plain --at %s=%s --records %s", p.Name, p.Address, f.path(RunLogDir))
	}
	for _, v := range f.VMs {
		line(v.Name, "umberladder serve --config %s", f.path(v.Name+".json"))
	}
	return out.String()
}

// RunLogFiles returns the paths of the fake servers' run logs.
func (f *Fleet) RunLogFiles() []string {
	var out []string
	for _, n := range append(append([]Endpoint{}, f.Engines...), f.PlainServers...) {
		out = append(out, filepath.Join(f.path(RunLogDir), n.Name+".runs"))
	}
	return out
}
