package nodes

import (
	"github.com/gravitational/trace"

	"umberladder/internal/state/member"
)

// callError returns the error of a call to another VM, or nil if err is nil.
func callError(m member.Member, err error) error {
	if err == nil {
		return nil
	}
	return trace.ConnectionProblem(err, "VM %s did not answer", m.Name)
}
