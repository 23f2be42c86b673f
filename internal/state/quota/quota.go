// Package quota finds settings that exceed what is available: reserves and rate
// limits that add up to more than the backend servers provide, and services that
// refer to a class or model that does not exist.
package quota

import (
	"fmt"
	"slices"
	"strings"

	"umberladder/internal/state/config"
)

// maxReserved is the share of an engine's memory that the reserves of all classes may
// take together. More would leave the lower classes with almost none.
const maxReserved = 0.9

// Check returns a line for each problem in the settings, sorted. A line begins with the
// path of the document and of the member in it.
func Check(s *config.Snapshot) []string {
	if s.System == nil {
		return nil
	}
	var out []string
	out = append(out, checkReserves(s.System)...)
	out = append(out, checkRates(s)...)
	for _, w := range s.AllWorkspaces() {
		out = append(out, checkReferences(s.System, w)...)
	}
	slices.Sort(out)
	return out
}

func checkReserves(s *config.System) []string {
	sum := 0.0
	for _, c := range s.Classes {
		sum += c.Reserve
	}
	if sum <= maxReserved {
		return nil
	}
	return []string{fmt.Sprintf("%s/classes: the reserves add up to %.2f of each engine's memory", config.SystemPath, sum)}
}

// generationRate returns how many tokens a second all servers of the model generate
// together. It returns false unless the settings state the rate of every server.
func generationRate(m *config.Model) (int, bool) {
	sum := 0
	for i := range m.Servers {
		if m.Servers[i].TokensPerSecond == 0 {
			return 0, false
		}
		sum += m.Servers[i].TokensPerSecond
	}
	return sum, len(m.Servers) > 0
}

// checkRates compares the token rate of each model's servers with the sum of the rate
// limits of the workspaces that use the model. A workspace may spend its whole rate on
// any one of its models, so its full limit counts for each of them.
func checkRates(s *config.Snapshot) []string {
	var out []string
	for i := range s.System.Models {
		m := &s.System.Models[i]
		available, known := generationRate(m)
		if !known {
			continue
		}
		allowed, unlimited := allowedRate(s, m)
		switch {
		case len(unlimited) > 0:
			out = append(out, fmt.Sprintf("%s/models/%d: its servers generate %d tokens a second, and these workspaces have no limit: %s",
				config.SystemPath, i, available, strings.Join(unlimited, ", ")))
		case allowed > available:
			out = append(out, fmt.Sprintf("%s/models/%d: workspaces may use %d tokens a second, and its servers generate %d",
				config.SystemPath, i, allowed, available))
		}
	}
	return out
}

// allowedRate returns the sum of the rate limits of the workspaces that use a model, and
// the names of those without a limit.
func allowedRate(s *config.Snapshot, m *config.Model) (sum int, unlimited []string) {
	for _, w := range s.AllWorkspaces() {
		if !uses(w, m) {
			continue
		}
		sum += w.Limits.TokensPerSecond
		if w.Limits.TokensPerSecond == 0 {
			unlimited = append(unlimited, string(w.Name))
		}
	}
	slices.Sort(unlimited)
	return sum, unlimited
}

func uses(w *config.Workspace, m *config.Model) bool {
	return slices.ContainsFunc(w.Services, func(s config.Service) bool {
		return s.Kind == config.ModelService && s.Model == m.Name
	})
}

// checkReferences reports the classes and models that a workspace's services refer to
// and that do not exist.
func checkReferences(s *config.System, w *config.Workspace) []string {
	var out []string
	for i := range w.Services {
		svc := &w.Services[i]
		path := fmt.Sprintf("%s/services/%d", config.WorkspacePath(w.Name), i)
		if s.Class(svc.Class) == nil {
			out = append(out, fmt.Sprintf("%s/class: the system has no class %q", path, svc.Class))
		}
		if svc.Kind == config.ModelService && s.Model(svc.Model) == nil {
			out = append(out, fmt.Sprintf("%s/model: the system has no model %q", path, svc.Model))
		}
	}
	return out
}
