package cell

import (
	"math"
	"time"

	"chicoryturn/core"
)

const (
	// gain is the weight of the newest run in the learned ratio.
	gain = 0.1
	// unknownRun stands for a run time that was neither declared nor learned.
	unknownRun = time.Minute
)

type learned struct {
	// ratio is the mean logarithm of actual over declared run time.
	ratio float64
	// mean is the mean logarithm of the run time in seconds.
	mean float64
	runs int
}

// Estimator learns how far declared run times are off, by queue.
type Estimator struct {
	queues map[core.Queue]*learned
}

// NewEstimator returns a guess that has learned nothing.
func NewEstimator() *Estimator { return &Estimator{queues: map[core.Queue]*learned{}} }

// Learn takes in one finished run.
func (g *Estimator) Learn(q core.Queue, declared, actual time.Duration) {
	if actual <= 0 {
		return
	}
	l := g.queues[q]
	if l == nil {
		l = &learned{}
		g.queues[q] = l
	}
	l.runs++
	weight := max(gain, 1/float64(l.runs))
	l.mean += weight * (math.Log(actual.Seconds()) - l.mean)
	if declared > 0 {
		l.ratio += weight * (math.Log(float64(actual)/float64(declared)) - l.ratio)
	}
}

// Predict returns the expected run time of a task.
func (g *Estimator) Predict(q core.Queue, declared time.Duration) time.Duration {
	l := g.queues[q]
	switch {
	case l == nil && declared <= 0:
		return unknownRun
	case l == nil:
		return declared
	case declared <= 0:
		return time.Duration(math.Exp(l.mean) * float64(time.Second))
	default:
		return time.Duration(math.Exp(l.ratio) * float64(declared))
	}
}
