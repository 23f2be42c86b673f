package nodes

import (
	"github.com/gravitational/trace"

	"umberladder/internal/state/member"
)

// failed turns the failure of a call to another VM into this package's error.
func failed(m member.Member, err error) error {
	if err == nil {
		return nil
	}
	return trace.ConnectionProblem(err, "VM %s did not answer", m.Name)
}
