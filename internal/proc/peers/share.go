package peers

import (
	"go.uber.org/zap"

	"umberladder/internal/core/uptime"
	"umberladder/internal/peer/share"
	"umberladder/internal/state/follow"
)

// shareSource provides the node's settings and servers to other VMs. It implements
// share.Source.
type shareSource struct{ node *Node }

// Settings implements share.Source.
func (s shareSource) Settings() (share.Settings, bool) {
	freshAt, snap := s.node.Settings.FreshAt(), s.node.Settings.Load()
	if snap == nil {
		return share.Settings{}, false
	}
	compressed, err := snap.Source.Compressed()
	if err != nil {
		s.node.log.Error("settings not compressed", zap.Uint64("version", snap.Version), zap.Error(err))
		return share.Settings{}, false
	}
	return share.Settings{Compressed: compressed, Version: snap.Version, Age: uptime.Now().Sub(freshAt)}, true
}

// HasServers implements share.Source.
func (s shareSource) HasServers() bool { return s.node.ServerFollower.Revision() != 0 }

// Servers implements share.Source.
func (s shareSource) Servers() (follow.Update, bool) {
	u, ok := s.node.ServerFollower.Snapshot()
	u.Past = s.node.Settings.Pasts()
	return u, ok
}
