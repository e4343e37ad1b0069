package fakes

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Bandwidth is a limited rate of data that several proxied links may share.
type Bandwidth struct {
	// bytesPerSecond is positive.
	bytesPerSecond int64

	mu sync.Mutex
	// idleAt is when all data so far has passed.
	idleAt time.Time
}

// NewBandwidth returns a bandwidth in bytes per second, which must be positive.
func NewBandwidth(bytesPerSecond int64) *Bandwidth { return &Bandwidth{bytesPerSecond: bytesPerSecond} }

// wait waits until n bytes have passed behind the data of earlier calls, or until the
// context ends.
func (b *Bandwidth) wait(ctx context.Context, n int) {
	b.mu.Lock()
	now := time.Now()
	if b.idleAt.Before(now) {
		b.idleAt = now
	}
	b.idleAt = b.idleAt.Add(time.Duration(n) * time.Second / time.Duration(b.bytesPerSecond))
	d := b.idleAt.Sub(now)
	b.mu.Unlock()
	sleep(ctx, d)
}

// linkLimits are the bandwidths that limit each direction of a link.
type linkLimits struct{ up, down []*Bandwidth }

func (l *linkLimits) of(isUp bool) []*Bandwidth {
	if isUp {
		return l.up
	}
	return l.down
}

// Limit adds bandwidths that the link's data to the server and from it share with other
// links, also for open connections. It must not be called by several goroutines at once.
func (p *Proxy) Limit(up, down *Bandwidth) {
	l := p.limits.Load()
	p.limits.Store(&linkLimits{up: append(slices.Clone(l.up), up), down: append(slices.Clone(l.down), down)})
}
