package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// watchSettings follows changes of the settings, told by a signal or not.
// Settings that cannot be read change nothing.
func (n *Node) watchSettings(ctx context.Context) error {
	look := time.NewTicker(settingsPause)
	defer look.Stop()
	known, told := n.settings, ""
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.platform.ReloadSignal:
			n.part("node").Info("asked to read the settings again")
		case <-look.C:
		}
		s, err := n.platform.Settings()
		switch {
		case err != nil && err.Error() != told:
			told = err.Error()
			n.part("node").WithError(err).Error("settings not read; the last ones stay in force")
		case err == nil && s != known:
			n.apply(known, s)
			known, told = s, ""
		}
	}
}

// apply puts changed settings in force. Addresses and names stay as they are
// until the process starts again.
func (n *Node) apply(old, s Settings) {
	n.grace.Store(int64(s.Grace))
	n.owner.SetLimits(s.Limits)
	if level, err := logrus.ParseLevel(s.Level); err == nil {
		n.log.SetLevel(level)
	}
	old.Limits, old.Grace, old.Level = s.Limits, s.Grace, s.Level
	n.part("node").WithFields(logrus.Fields{
		"lease": s.Limits.Lease.String(), "grace": s.Grace.String(), "level": s.Level, "restart": old != s,
	}).Info("settings in force")
}
