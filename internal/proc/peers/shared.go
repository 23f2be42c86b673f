package peers

import (
	"go.uber.org/zap"

	"umberladder/internal/core/awake"
	"umberladder/internal/peer/share"
	"umberladder/internal/state/follow"
)

// source is what the node shares with others. It implements share.Source.
type source struct{ node *Node }

// Settings implements share.Source.
func (s source) Settings() (share.Settings, bool) {
	fresh, snap := s.node.Settings.Fresh(), s.node.Settings.Load()
	if snap == nil {
		return share.Settings{}, false
	}
	packed, err := snap.Source.Packed()
	if err != nil {
		s.node.log.Error("settings not packed", zap.Uint64("version", snap.Version), zap.Error(err))
		return share.Settings{}, false
	}
	return share.Settings{Packed: packed, Version: snap.Version, Age: awake.Now().Sub(fresh)}, true
}

// Servers implements share.Source.
func (s source) Servers() (follow.News, bool) { return s.node.Discover.All() }
