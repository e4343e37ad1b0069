package timer_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chicoryturn/io/timer"
)

// TestRandomWaits guards against waits that end early, late, twice or after they were stopped, and
// against some that never end.
func TestRandomWaits(t *testing.T) {
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(seed, 1))
			var mu sync.Mutex
			endedAt := map[int]time.Time{}
			set := timer.New(func(i int) {
				mu.Lock()
				defer mu.Unlock()
				_, again := endedAt[i]
				is.True(!again)
				endedAt[i] = time.Now()
			})
			type wait struct {
				*timer.Wait[int]
				endsAt    time.Time
				isStopped bool
			}
			lengths := []time.Duration{350 * time.Millisecond, 1100 * time.Millisecond, 0}
			var waits []wait
			for i := range 100 {
				length := lengths[rng.IntN(len(lengths))]
				waits = append(waits, wait{Wait: set.Start(length, i), endsAt: time.Now().Add(length)})
				time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
				if w := &waits[rng.IntN(len(waits))]; rng.IntN(2) == 0 && time.Now().Before(w.endsAt) {
					w.Stop()
					w.isStopped = true
				}
			}
			time.Sleep(2 * time.Second)
			mu.Lock()
			defer mu.Unlock()
			for i, w := range waits {
				at, hasEnded := endedAt[i]
				is.Equal(hasEnded, !w.isStopped)
				if hasEnded {
					is.Equal(at, w.endsAt)
				}
			}
		})
	}
}
