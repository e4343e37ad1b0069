package node

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryturn/core/policy"
	"chicoryturn/io/clock"
	"chicoryturn/io/guard"
	"chicoryturn/io/table"
)

const (
	// directivesWait bounds one call that waits for a change, and so the time
	// until a VM notices that its connection is dead.
	directivesWait = 800 * time.Millisecond
	// directivesRetryDelay is the time before a failed read is retried.
	directivesRetryDelay = 200 * time.Millisecond
)

// watchDirectives reads the configuration and the evacuated zones, and applies their
// changes. While the store does not answer, the last ones apply.
func (n *Node) watchDirectives(ctx context.Context) error {
	log := n.logger("config")
	var last policy.Directives
	apply := func(d policy.Directives, began time.Duration) {
		n.setDirectives(last, d, began)
		last = d
	}
	for ctx.Err() == nil {
		began := n.entry.Clock()
		d, err := guard.Call(func() (policy.Directives, error) { return n.lister.Directives(ctx) })
		if err != nil {
			log.WithError(err).WithField("age", n.directivesAge().Round(time.Millisecond).String()).Warn("cannot read the configuration and the evacuated zones")
			clock.Sleep(ctx, directivesRetryDelay)
			continue
		}
		apply(d, began)
		for ctx.Err() == nil {
			began = n.entry.Clock()
			d, resumed, err := n.awaitDirectives(ctx, last)
			if resumed {
				log.Info("resumed after a pause; reading the configuration and the evacuated zones")
				break
			}
			if err != nil {
				var compacted *table.CompactedError
				if !errors.As(err, &compacted) {
					log.WithError(err).WithField("age", n.directivesAge().Round(time.Millisecond).String()).Warn("cannot read changes of the configuration and the evacuated zones")
					clock.Sleep(ctx, directivesRetryDelay)
				}
				break
			}
			apply(d, began)
		}
	}
	return nil
}

// awaitDirectives waits for a change after last. It stops waiting if the process resumes
// after a pause.
func (n *Node) awaitDirectives(ctx context.Context, last policy.Directives) (d policy.Directives, resumed bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	watched := make(chan bool, 1)
	go func() {
		select {
		case <-n.entry.Resumed():
			cancel()
			watched <- true
		case <-ctx.Done():
			watched <- false
		}
	}()
	d, err = guard.Call(func() (policy.Directives, error) { return n.lister.AwaitDirectives(ctx, last, directivesWait) })
	cancel()
	return d, <-watched, err
}

// setDirectives applies what a read has shown that was sent at the boot time began.
// The zones come before the configuration: no part has that without them.
func (n *Node) setDirectives(last, d policy.Directives, began time.Duration) {
	log := n.logger("config")
	n.entry.SetEvacuated(d.Evacuated)
	version := n.entry.Version()
	if d.Policy != nil {
		n.entry.SetPolicy(d.Policy)
		for _, l := range n.listeners {
			l.SetLimits(connLimits(d.Policy.Clients))
		}
	}
	n.owner.SetDirectives(d, began)
	n.directivesAt.Store(int64(began))
	if d.Policy != nil && d.Policy.Version > version {
		log.WithFields(logrus.Fields{"version": d.Policy.Version, "last": version}).Info("configuration in force")
	}
	if d.PolicyErr == nil {
		n.entry.ConfirmPolicy(began)
	} else if last.PolicyErr == nil || last.PolicyErr.Error() != d.PolicyErr.Error() {
		log.WithError(d.PolicyErr).Error("cannot use the configuration; the last one stays in force")
	}
}

// directivesAge returns the time since the last successful read of what operators have set
// was sent, 0 before the first one.
func (n *Node) directivesAge() time.Duration {
	if at := n.directivesAt.Load(); at > 0 {
		return n.entry.Clock() - time.Duration(at)
	}
	return 0
}
