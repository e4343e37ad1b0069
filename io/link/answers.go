package link

import (
	"sync"
	"time"
)

const (
	// silentAfter is how long no question must have been answered before the owner counts as
	// silent.
	silentAfter = 2 * time.Second
	// maxQuestionGap is the longest time between two questions without a reply that tell of the
	// time between them.
	maxQuestionGap = 3 * time.Second
)

// answers tells whether the owner answers questions.
type answers struct {
	mu sync.Mutex
	// unansweredSince is when the first question was sent of those without a reply since the
	// last reply; zero if that one had a reply. lastUnanswered is when the last of them was given up.
	unansweredSince, lastUnanswered time.Time
	silent                          bool
}

// unanswered records that a question, sent at sentAt, has had no reply until now. It reports whether
// the owner counts as silent from now on, and for how long it has been.
func (a *answers) unanswered(now, sentAt time.Time) (since time.Duration, changed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.unansweredSince.IsZero() || !a.silent && sentAt.Sub(a.lastUnanswered) > maxQuestionGap {
		a.unansweredSince = sentAt
	}
	a.lastUnanswered = now
	since = now.Sub(a.unansweredSince)
	changed = !a.silent && since >= silentAfter
	a.silent = a.silent || changed
	return since, changed
}

// answered records a reply. It reports whether the owner counted as silent, and for how long it has
// been.
func (a *answers) answered(now time.Time) (since time.Duration, changed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	since, changed = now.Sub(a.unansweredSince), a.silent
	a.unansweredSince, a.silent = time.Time{}, false
	return since, changed
}
