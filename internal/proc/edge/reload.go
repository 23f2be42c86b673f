package edge

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/proc/conf"
)

// lookEvery is how often the settings file is looked at: it may change without
// a signal.
const lookEvery = 2 * time.Second

// Reload reads the settings anew, each time that signals has an element or the
// file has changed, until ctx ends. What does not need a new start takes
// effect; a file that can't be read leaves what is in force.
func (v *VM) Reload(ctx context.Context, path string, signals <-chan os.Signal) {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	last := stamp(path)
	for {
		why := "signal"
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-t.C:
			if stamp(path) == last {
				continue
			}
			why = "file changed"
		}
		last = stamp(path)
		v.reload(path, why)
	}
}

// fileStamp tells two versions of a file apart.
type fileStamp struct {
	at   time.Time
	size int64
}

func stamp(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		// A file that is being replaced is looked at again.
		return fileStamp{}
	}
	return fileStamp{at: info.ModTime(), size: info.Size()}
}

func (v *VM) reload(path, why string) {
	cfg, err := conf.ReadEdge(path)
	if err != nil {
		v.log.Error("settings not reloaded", zap.String("why", why), zap.Error(err))
		return
	}
	old := v.cfg.Load()
	restart := old.Name != cfg.Name || old.Callers != cfg.Callers || old.Ready != cfg.Ready || old.Peers != cfg.Peers ||
		old.Store != cfg.Store || old.Metrics != cfg.Metrics || old.Domain != cfg.Domain
	kept := *old
	kept.Revoke, kept.Grace, kept.Retry = cfg.Revoke, cfg.Grace, cfg.Retry
	v.cfg.Store(&kept)
	v.node.Budget.Set(cfg.Retry.Ratio, cfg.Retry.Extra)
	v.log.Info("settings reloaded", zap.String("why", why), zap.Bool("needs-restart", restart))
}
