package cell

import (
	"math"
	"time"

	"chicoryturn/core"
)

const (
	// minWeight is the weight of the newest run in the learned ratio.
	minWeight = 0.1
	// defaultRunTime stands for a run time that was neither declared nor learned.
	defaultRunTime = time.Minute
)

type runStats struct {
	// logRatio is the mean logarithm of actual over declared run time.
	logRatio float64
	// logMean is the mean logarithm of the run time in seconds.
	logMean float64
	runs    int
}

// Estimator learns how far declared run times are off, by queue.
type Estimator struct {
	queues map[core.Queue]*runStats
}

// NewEstimator returns a guess that has learned nothing.
func NewEstimator() *Estimator { return &Estimator{queues: map[core.Queue]*runStats{}} }

// Learn takes in one finished run.
func (e *Estimator) Learn(q core.Queue, declared, actual time.Duration) {
	if actual <= 0 {
		return
	}
	l := e.queues[q]
	if l == nil {
		l = &runStats{}
		e.queues[q] = l
	}
	l.runs++
	weight := max(minWeight, 1/float64(l.runs))
	l.logMean += weight * (math.Log(actual.Seconds()) - l.logMean)
	if declared > 0 {
		l.logRatio += weight * (math.Log(float64(actual)/float64(declared)) - l.logRatio)
	}
}

// Predict returns the expected run time of a task.
func (e *Estimator) Predict(q core.Queue, declared time.Duration) time.Duration {
	l := e.queues[q]
	switch {
	case l == nil && declared <= 0:
		return defaultRunTime
	case l == nil:
		return declared
	case declared <= 0:
		return time.Duration(math.Exp(l.logMean) * float64(time.Second))
	default:
		return time.Duration(math.Exp(l.logRatio) * float64(declared))
	}
}
