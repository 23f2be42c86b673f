package peers

import (
	"go.uber.org/zap"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/timing"
)

// slownessChanged logs that a plain server has become slow, or is slow no more. The other VMs
// have the same figures, so it is not propagated.
func (n *Node) slownessChanged(c timing.Change) {
	msg := "plain server slow no more"
	if c.Slow {
		msg = "plain server slow"
	}
	n.log.Info(msg, zap.String("service", string(c.Service)), zap.String("server", string(c.Server)),
		zap.Duration("mean-response-time", c.Mean), zap.Duration("median-of-servers", c.Median))
}

// serviceOf returns the service of a server; empty: the server is not known.
func (n *Node) serviceOf(id ident.Server) ident.Service {
	if s := n.Servers.View().Server(id); s != nil {
		return s.Service
	}
	return ""
}

// ownCalls returns the number of this VM's calls in flight at a server.
func (n *Node) ownCalls(id ident.Server) int { return n.Alloc.Own(id).Calls }
