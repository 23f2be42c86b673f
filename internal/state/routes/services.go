package routes

import (
	"maps"
	"slices"

	"umberladder/internal/core/ident"
)

// ServiceNames returns the names of all services, sorted.
func (s *Snapshot) ServiceNames() []ident.Service { return slices.Sorted(maps.Keys(s.services)) }
