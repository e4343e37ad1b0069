package rank_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core/rank"
)

var now = time.Unix(1_000_000, 0)

// claim returns a claim that ends slack before its deadline and is of use for a minute after that.
func claim(slack time.Duration, priority int, surplus bool, work float64) rank.Claim {
	return rank.Claim{Ends: now.Add(time.Second), Deadline: now.Add(time.Second + slack), UsefulUntil: now.Add(time.Minute + slack), Priority: priority, Surplus: surplus, Work: work}
}

// TestOrder checks which of two claims comes first when a fleet is full. It guards against work
// that is late, of a lower priority, beyond its team's share or large keeping others from their
// deadlines, and against large work that never gets its turn.
func TestOrder(t *testing.T) {
	const long = 10 * time.Second
	for name, c := range map[string]struct{ first, second rank.Claim }{
		"on time before late":                      {claim(long, 2, true, 4000), claim(-time.Second, 0, false, 1)},
		"late before useless":                      {claim(-time.Second, 2, true, 4000), claim(-2*time.Minute, 0, false, 1)},
		"priority":                                 {claim(long, 0, true, 4000), claim(time.Millisecond, 1, false, 1)},
		"share":                                    {claim(long, 1, false, 4000), claim(time.Millisecond, 1, true, 1)},
		"large work that must start now":           {claim(time.Second, 1, false, 4000), claim(long, 1, false, 1)},
		"small work":                               {claim(2*long, 1, false, 100), claim(long, 1, false, 4000)},
		"slack between works of like size":         {claim(long, 1, false, 1100), claim(2*long, 1, false, 1050)},
		"small late work, however late":            {claim(-time.Second, 1, false, 100), claim(-long, 1, false, 4000)},
		"slack between works that must start now":  {claim(time.Second/4, 1, false, 1100), claim(time.Second/2, 1, false, 1050)},
		"no work counts as small":                  {claim(2*long, 1, false, 0), claim(long, 1, false, 2)},
		"the last moment of being on time":         {claim(0, 1, false, 4000), claim(-time.Nanosecond, 1, false, 1)},
		"the last moment of being of use":          {claim(-time.Minute+time.Second, 1, false, 4000), claim(-time.Minute-2*time.Second, 0, false, 1)},
		"useless work keeps the queue's priority":  {claim(-2*time.Minute, 0, false, 4000), claim(-2*time.Minute, 1, false, 1)},
		"useless work keeps the share":             {claim(-2*time.Minute, 0, false, 4000), claim(-2*time.Minute, 0, true, 1)},
		"surplus that is on time before late dues": {claim(long, 1, true, 1), claim(-time.Second, 1, false, 1)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(c.first.Key().Compare(c.second.Key()) < 0)
			is.True(c.second.Key().Compare(c.first.Key()) > 0)
			is.Equal(c.first.Key().Compare(c.first.Key()), 0)
		})
	}
}

// TestOverload plays a server with room for one job at a time that gets twice the work it can do,
// in jobs of which a tenth are large. It guards against an order in which nearly all jobs are late, as with
// the earliest deadline first, and against one that never serves large jobs on time.
func TestOverload(t *testing.T) {
	type job struct {
		size     time.Duration
		accepted time.Time
	}
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(seed, 1))
			var open []job
			onTime, total := map[bool]int{}, map[bool]int{}
			allowed := func(j job) time.Duration { return 3*j.size + 10*time.Second }
			at, arrives := now, now
			for at.Before(now.Add(10 * time.Minute)) {
				for ; !arrives.After(at); arrives = arrives.Add(time.Second) {
					j := job{size: time.Duration(500+rng.IntN(1000)) * time.Millisecond, accepted: arrives}
					if rng.IntN(10) == 0 {
						j.size *= 10
					}
					total[j.size > 4*time.Second]++
					open = append(open, j)
				}
				if len(open) == 0 {
					at = arrives
					continue
				}
				key := func(j job) rank.Key {
					d := j.accepted.Add(allowed(j))
					return rank.Claim{Ends: at.Add(j.size), Deadline: d, UsefulUntil: d.Add(2 * allowed(j)), Work: j.size.Seconds()}.Key()
				}
				slices.SortStableFunc(open, func(x, y job) int { return key(x).Compare(key(y)) })
				j := open[0]
				open = open[1:]
				at = at.Add(j.size)
				if !at.After(j.accepted.Add(allowed(j))) {
					onTime[j.size > 4*time.Second]++
				}
			}
			t.Logf("on time: %d of %d small jobs, %d of %d large ones", onTime[false], total[false], onTime[true], total[true])
			is.True(onTime[false] > total[false]/2)
			// Large jobs are served at least half as often as all.
			is.True(2*onTime[true]*(total[true]+total[false]) >= total[true]*(onTime[true]+onTime[false]))
		})
	}
}
