package node_test

import (
	"testing"
	"time"

	"chicoryturn/core/fleet"
	"chicoryturn/io/node"
)

// BenchmarkTickMetrics measures what the metrics of one tick of an owner cost.
func BenchmarkTickMetrics(b *testing.B) {
	var m node.Meter
	counts, use := fleet.Counts{Starts: 1}, fleet.MemoryUse{Accepted: 1 << 20, AcceptedLimit: 1 << 25}
	b.ReportAllocs()
	for b.Loop() {
		counts.Starts++
		use.Accepted++
		m.Authority(300*time.Millisecond, 0)
		m.Placement(2 * time.Millisecond)
		m.Counts(counts)
		m.Memory(use)
		m.Queued(7, 2)
		m.Mailbox(3*time.Millisecond, 4)
	}
}

// BenchmarkCallMetrics measures what the metrics of one call to a worker cost.
func BenchmarkCallMetrics(b *testing.B) {
	var m node.Meter
	b.ReportAllocs()
	for b.Loop() {
		m.Call("hold", "ok", 30*time.Millisecond)
	}
}
