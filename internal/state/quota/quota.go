// Package quota finds what settings promise beyond what there is: reserves and
// limits that add up to more than the backend servers can give, and services
// that name a class or model that is not there.
package quota

import (
	"fmt"
	"slices"
	"strings"

	"umberladder/internal/state/config"
)

// mostReserved is the share of an engine's memory that reserves may take
// together before lower classes are left without any to speak of.
const mostReserved = 0.9

// Check returns a line for each promise that can't be kept, in order, which
// begins with the path of the document and member.
func Check(s *config.Snapshot) []string {
	if s.System == nil {
		return nil
	}
	var out []string
	out = append(out, reserves(s.System)...)
	out = append(out, rates(s)...)
	for _, w := range s.All() {
		out = append(out, missing(s.System, w)...)
	}
	slices.Sort(out)
	return out
}

func reserves(s *config.System) []string {
	sum := 0.0
	for _, c := range s.Classes {
		sum += c.Reserve
	}
	if sum <= mostReserved {
		return nil
	}
	return []string{fmt.Sprintf("%s/classes: the reserves add up to %.2f of each engine's memory", config.SystemPath, sum)}
}

// capacity returns what all servers of the model generate, in tokens a second.
// It is false unless every server tells.
func capacity(m *config.Model) (int, bool) {
	sum := 0
	for i := range m.Servers {
		if m.Servers[i].TokensPerSecond == 0 {
			return 0, false
		}
		sum += m.Servers[i].TokensPerSecond
	}
	return sum, len(m.Servers) > 0
}

// rates adds up the rates that workspaces are allowed on each set of models
// that they share. A workspace may spend its whole rate on any one of its
// models, so each model is held against all workspaces that use it.
func rates(s *config.Snapshot) []string {
	var out []string
	for i := range s.System.Models {
		m := &s.System.Models[i]
		most, known := capacity(m)
		if !known {
			continue
		}
		sum, open := rateOf(s, m)
		switch {
		case len(open) > 0:
			out = append(out, fmt.Sprintf("%s/models/%d: its servers generate %d tokens a second, and these workspaces have no limit: %s",
				config.SystemPath, i, most, strings.Join(open, ", ")))
		case sum > most:
			out = append(out, fmt.Sprintf("%s/models/%d: workspaces may use %d tokens a second, and its servers generate %d",
				config.SystemPath, i, sum, most))
		}
	}
	return out
}

// rateOf adds up the rates of the workspaces that use a model, and names those
// without a limit.
func rateOf(s *config.Snapshot, m *config.Model) (sum int, open []string) {
	for _, w := range s.All() {
		if !uses(w, m) {
			continue
		}
		sum += w.Limits.TokensPerSecond
		if w.Limits.TokensPerSecond == 0 {
			open = append(open, string(w.Name))
		}
	}
	slices.Sort(open)
	return sum, open
}

func uses(w *config.Workspace, m *config.Model) bool {
	return slices.ContainsFunc(w.Services, func(s config.Service) bool {
		return s.Kind == config.ModelService && s.Model == m.Name
	})
}

// missing names the classes and models that a workspace's services name and
// the system does not have.
func missing(s *config.System, w *config.Workspace) []string {
	var out []string
	for i := range w.Services {
		v := &w.Services[i]
		at := fmt.Sprintf("%s/services/%d", config.WorkspacePath(w.Name), i)
		if s.Class(v.Class) == nil {
			out = append(out, fmt.Sprintf("%s/class: the system has no class %q", at, v.Class))
		}
		if v.Kind == config.ModelService && s.Model(v.Model) == nil {
			out = append(out, fmt.Sprintf("%s/model: the system has no model %q", at, v.Model))
		}
	}
	return out
}
