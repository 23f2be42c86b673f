package pick

import (
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/pace"
)

// Speeds returns the engines of a service whose time per token this VM knows, and the median;
// zero: too few are known. Only a VM that has placed runs of the service knows of them.
func (c *Chooser) Speeds(service ident.Service, now time.Time) ([]pace.Speed, time.Duration) {
	return c.paces.Speeds(service, now)
}
