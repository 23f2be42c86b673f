package edge

import (
	"context"
	"maps"
	"os"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/proc/conf"
)

// fileCheckInterval is how often the settings file is checked for changes that
// come without a signal.
const fileCheckInterval = 2 * time.Second

// ReloadOnChange reloads the settings file on each signal and each time the file
// has changed, until ctx ends. The revoke bound, the stop grace, the cold limit and the
// ratio and extra attempts of the retry budget take effect at once; all other settings
// need a restart. A file that cannot be read or is not valid changes nothing.
func (v *VM) ReloadOnChange(ctx context.Context, path string, signals <-chan os.Signal) {
	t := time.NewTicker(fileCheckInterval)
	defer t.Stop()
	last := statFile(path)
	for {
		why := "signal"
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-t.C:
			if statFile(path) == last {
				continue
			}
			why = "file changed"
		}
		last = statFile(path)
		v.reload(path, why)
	}
}

// fileVersion identifies a version of a file by modification time and size.
type fileVersion struct {
	modTime time.Time
	size    int64
}

func statFile(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		// The file may be missing for a moment while it is replaced. It is
		// checked again at the next interval.
		return fileVersion{}
	}
	return fileVersion{modTime: info.ModTime(), size: info.Size()}
}

func (v *VM) reload(path, why string) {
	cfg, err := conf.ReadEdge(path)
	if err != nil {
		v.log.Error("settings not reloaded", zap.String("why", why), zap.Error(err))
		return
	}
	old := v.cfg.Load()
	restart := old.Name != cfg.Name || old.Clients != cfg.Clients || old.Ready != cfg.Ready || old.Peers != cfg.Peers ||
		old.Store != cfg.Store || old.Metrics != cfg.Metrics || old.Domain != cfg.Domain || !maps.Equal(old.Regions, cfg.Regions)
	updated := *old
	updated.RevokeBound, updated.StopGrace, updated.RetryBudget = cfg.RevokeBound, cfg.StopGrace, cfg.RetryBudget
	updated.ColdLimit, updated.WorkspaceWeights, updated.EnginePriorities = cfg.ColdLimit, cfg.WorkspaceWeights, cfg.EnginePriorities
	v.cfg.Store(&updated)
	v.node.Budget.SetLimits(cfg.RetryBudget.Ratio, cfg.RetryBudget.Extra)
	v.log.Info("settings reloaded", zap.String("why", why), zap.Bool("needs-restart", restart))
}
