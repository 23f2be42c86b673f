package peers

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/policy/retry"
)

// versionsInterval is how often the store is read for versions of servers that are missing. They
// are missing where a VM of earlier software, which does not send them, passed the entries on.
const versionsInterval = 5 * time.Second

// completeVersions reads missing versions of servers from the store, until ctx ends.
func (n *Node) completeVersions(ctx context.Context) {
	for ctx.Err() == nil {
		retry.Sleep(ctx, versionsInterval+rand.N(versionsInterval))
		if !n.Servers.View().LacksVersions() {
			continue
		}
		list, _, err := n.serverSource.Servers(ctx)
		if err != nil {
			n.log.Info("versions of servers not read", zap.Error(err))
			continue
		}
		n.Servers.Batch(func() {
			for _, e := range list {
				n.Servers.SetVersion(e.ID, e.Version)
			}
		})
	}
}
