package peers

import (
	"go.uber.org/zap"

	"umberladder/internal/core/awake"
	"umberladder/internal/peer/share"
	"umberladder/internal/state/follow"
)

// shareSource provides the node's settings and servers to other VMs. It implements
// share.Source.
type shareSource struct{ node *Node }

// Settings implements share.Source.
func (s shareSource) Settings() (share.Settings, bool) {
	freshAt, snap := s.node.Settings.Fresh(), s.node.Settings.Load()
	if snap == nil {
		return share.Settings{}, false
	}
	compressed, err := snap.Source.Packed()
	if err != nil {
		s.node.log.Error("settings not compressed", zap.Uint64("version", snap.Version), zap.Error(err))
		return share.Settings{}, false
	}
	return share.Settings{Packed: compressed, Version: snap.Version, Age: awake.Now().Sub(freshAt)}, true
}

// Servers implements share.Source.
func (s shareSource) Servers() (follow.News, bool) { return s.node.ServerFollower.All() }
