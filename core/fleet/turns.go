package fleet

import "container/heap"

// lane holds phases that a pass examines in order, the most urgent first. It implements
// heap.Interface.
type lane[K comparable] struct {
	key    K
	phases []rankedPhase
}

// Len implements heap.Interface.
func (l *lane[K]) Len() int { return len(l.phases) }

// Less implements heap.Interface.
func (l *lane[K]) Less(i, j int) bool { return l.phases[i].compare(&l.phases[j]) < 0 }

// Swap implements heap.Interface.
func (l *lane[K]) Swap(i, j int) { l.phases[i], l.phases[j] = l.phases[j], l.phases[i] }

// Push implements heap.Interface.
func (l *lane[K]) Push(x any) { l.phases = append(l.phases, x.(rankedPhase)) }

// Pop implements heap.Interface.
func (l *lane[K]) Pop() any {
	last := len(l.phases) - 1
	out := l.phases[last]
	l.phases[last] = rankedPhase{}
	l.phases = l.phases[:last]
	return out
}

// clear removes all phases and keeps the memory.
func (l *lane[K]) clear() {
	clear(l.phases)
	l.phases = l.phases[:0]
}

// lanes orders lanes by their first phases. It implements heap.Interface.
type lanes[K comparable] []*lane[K]

// Len implements heap.Interface.
func (l lanes[K]) Len() int { return len(l) }

// Less implements heap.Interface.
func (l lanes[K]) Less(i, j int) bool { return l[i].phases[0].compare(&l[j].phases[0]) < 0 }

// Swap implements heap.Interface.
func (l lanes[K]) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

// Push implements heap.Interface.
func (l *lanes[K]) Push(x any) { *l = append(*l, x.(*lane[K])) }

// Pop implements heap.Interface.
func (l *lanes[K]) Pop() any {
	last := len(*l) - 1
	out := (*l)[last]
	*l = (*l)[:last]
	return out
}

// turns yields the phases of one pass in order, the most urgent first. Phases that one cause
// may exclude share a lane, so that the pass can leave out all that are left of it. Building
// it takes time that is linear in the number of phases, unlike sorting them.
type turns[K comparable] struct {
	// all holds the lanes of this pass and of earlier ones, whose memory is used again.
	all map[K]*lane[K]
	// used counts the lanes of this pass.
	used int
	// left holds the lanes with phases. It is a heap once start has been called.
	left lanes[K]
}

// reset begins a new pass.
func (t *turns[K]) reset() {
	for _, l := range t.left {
		l.clear()
	}
	if t.all == nil || len(t.all) > maxIdleLanes+2*t.used {
		t.all = map[K]*lane[K]{}
	}
	t.left, t.used = t.left[:0], 0
}

// add adds a phase to a lane before start.
func (t *turns[K]) add(key K, r rankedPhase) {
	l := t.all[key]
	if l == nil {
		l = &lane[K]{key: key}
		t.all[key] = l
	}
	if len(l.phases) == 0 {
		t.left = append(t.left, l)
		t.used++
	}
	l.phases = append(l.phases, r)
}

// start orders the phases that have been added.
func (t *turns[K]) start() {
	for _, l := range t.left {
		heap.Init(l)
	}
	heap.Init(&t.left)
}

// first returns the most urgent phase and the key of its lane, or false if none is left.
func (t *turns[K]) first() (rankedPhase, K, bool) {
	if len(t.left) == 0 {
		var none K
		return rankedPhase{}, none, false
	}
	l := t.left[0]
	return l.phases[0], l.key, true
}

// pop removes the first phase.
func (t *turns[K]) pop() {
	if l := t.left[0]; len(l.phases) > 1 {
		heap.Pop(l)
		heap.Fix(&t.left, 0)
		return
	}
	t.drop()
}

// drop removes all phases of the first phase's lane.
func (t *turns[K]) drop() {
	heap.Pop(&t.left).(*lane[K]).clear()
}
