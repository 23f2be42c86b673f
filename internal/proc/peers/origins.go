package peers

import (
	"net/netip"

	"umberladder/internal/state/origin"
)

// SendRecords implements origin.Transport. What is sent before the gossip agent has started is
// lost.
func (n *Node) SendRecords(to netip.AddrPort, list []origin.Record) {
	if agent := n.agent.Load(); agent != nil {
		agent.SendRecords(to, list)
	}
}

// SendQuery implements origin.Transport.
func (n *Node) SendQuery(to netip.AddrPort, q origin.Query) {
	if agent := n.agent.Load(); agent != nil {
		agent.SendQuery(to, q)
	}
}

// HandleOrigins implements gossip.Delegate.
func (d *delegate) HandleOrigins(list []origin.Record) { d.node.Origins.HandleRecords(list) }

// AnswerOriginQuery implements gossip.Delegate.
func (d *delegate) AnswerOriginQuery(q origin.Query) origin.Answer { return d.node.Origins.Answer(q) }

// HandleOriginAnswer implements gossip.Delegate.
func (d *delegate) HandleOriginAnswer(a origin.Answer) { d.node.Origins.HandleAnswer(a) }
