package rank

import (
	"cmp"
	"math"
	"slices"
)

// Demand is the room that a team holds and waits for, as a part of all room.
type Demand struct {
	// Weight is the team's, above 0.
	Weight float64
	Room   float64
}

// Level returns the room over weight up to which the teams' demands can be met when room of 1 is
// divided by weighted max-min fairness: a team gets what it demands, or its weight times the
// level. It is infinite if all demands can be met.
func Level(demands []Demand) float64 {
	byRatio := slices.SortedFunc(slices.Values(demands), func(x, y Demand) int {
		return cmp.Compare(x.Room/x.Weight, y.Room/y.Weight)
	})
	weights := 0.0
	for _, d := range byRatio {
		weights += d.Weight
	}
	left := 1.0
	for _, d := range byRatio {
		if level := left / weights; d.Room/d.Weight > level {
			return level
		}
		left -= d.Room
		weights -= d.Weight
	}
	return math.Inf(1)
}

// Surplus returns how far a team that has used up some room exceeds its share: 0 below the level,
// 1 from there on, and one more each time that the room doubles.
func Surplus(used, weight, level float64) int {
	over := used / weight / level
	if !(over >= 1) {
		return 0
	}
	return 1 + int(math.Log2(min(over, math.MaxInt32)))
}
