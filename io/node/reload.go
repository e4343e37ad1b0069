package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryturn/io/guard"
)

// watchSettings applies changes of the settings, which it reads after a signal
// and every settingsInterval. Settings that cannot be read change nothing; each
// such error is logged once.
func (n *Node) watchSettings(ctx context.Context) error {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	current, lastError := n.settings, ""
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.platform.ReloadSignal:
			n.logger("node").Info("reload signal received")
		case <-ticker.C:
		}
		changed, err := guard.Call(n.platform.Settings)
		switch {
		case err != nil && err.Error() != lastError:
			lastError = err.Error()
			n.logger("node").WithError(err).Error("cannot read the settings; the last ones stay in force")
		case err == nil && changed != current:
			n.applySettings(current, changed)
			current, lastError = changed, ""
		}
	}
}

// applySettings applies changed settings. Addresses and names take effect only
// after a restart.
func (n *Node) applySettings(old, s Settings) {
	n.grace.Store(int64(s.Grace))
	n.owner.SetLimits(s.Limits)
	setMemoryLimit(s.Limits.Memory)
	if level, err := logrus.ParseLevel(s.LogLevel); err == nil {
		n.log.SetLevel(level)
	}
	// If any other setting has changed, old still differs from s.
	old.Limits, old.Grace, old.LogLevel = s.Limits, s.Grace, s.LogLevel
	n.logger("node").WithFields(logrus.Fields{
		"lease": s.Limits.Lease.String(), "grace": s.Grace.String(), "level": s.LogLevel, "restart": old != s,
	}).Info("settings in force")
}
