package cell

import (
	"math"
	"time"

	"chicoryturn/core"
)

const (
	// minWeight is the lower bound of the weight 1/n that run n gets in the
	// learned means, so that the means keep adapting to new runs.
	minWeight = 0.1
	// defaultRunTime is the prediction for a run time that was neither declared
	// nor learned.
	defaultRunTime = time.Minute
)

// runStats is what has been learned about the runs of one queue.
type runStats struct {
	// logRatio is the mean logarithm of the actual divided by the declared run
	// time.
	logRatio float64
	// logMean is the mean logarithm of the run time in seconds.
	logMean float64
	runs    int
}

// Estimator predicts run times. It learns, for each queue, by what factor
// declared run times differ from actual ones.
type Estimator struct {
	queues map[core.Queue]*runStats
}

// NewEstimator returns an estimator that has learned nothing yet.
func NewEstimator() *Estimator { return &Estimator{queues: map[core.Queue]*runStats{}} }

// Learn adds the run time of one finished run.
func (e *Estimator) Learn(q core.Queue, declared, actual time.Duration) {
	if actual <= 0 {
		return
	}
	stats := e.queues[q]
	if stats == nil {
		stats = &runStats{}
		e.queues[q] = stats
	}
	stats.runs++
	weight := max(minWeight, 1/float64(stats.runs))
	stats.logMean += weight * (math.Log(actual.Seconds()) - stats.logMean)
	if declared > 0 {
		stats.logRatio += weight * (math.Log(float64(actual)/float64(declared)) - stats.logRatio)
	}
}

// Predict returns the expected run time of a task.
func (e *Estimator) Predict(q core.Queue, declared time.Duration) time.Duration {
	stats := e.queues[q]
	switch {
	case stats == nil && declared <= 0:
		return defaultRunTime
	case stats == nil:
		return declared
	case declared <= 0:
		return time.Duration(math.Exp(stats.logMean) * float64(time.Second))
	default:
		return time.Duration(math.Exp(stats.logRatio) * float64(declared))
	}
}
