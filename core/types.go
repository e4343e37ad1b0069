// Package core defines the value types that all packages under core share.
// These packages perform no I/O, read no clock, take no lock and start no
// goroutine. Time and input are passed in as values, and decisions are returned
// as values.
package core

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Identifiers have distinct types so that one cannot be passed as another.
type (
	// Team names a customer, who has keys, a share and a limit.
	Team string
	// Queue names a queue of requests or jobs, to which one rule applies.
	Queue string
	// Service names a group of interchangeable targets.
	Service string
	// Region names a group of data centres with low latency between them.
	Region string
	// Zone names one data centre.
	Zone string
	// WorkerID names one worker VM.
	WorkerID string
	// TargetID names one target VM.
	TargetID string
	// JobID names a job uniquely in the fleet.
	JobID string
	// SessionID names one incarnation of one process.
	SessionID string
	// Version numbers the accepted configurations in increasing order.
	Version uint64
	// Epoch numbers the successive owners of a cell in increasing order.
	Epoch uint64
)

// CellID names a cell, which schedules a part of a region's workers and jobs.
type CellID struct {
	Region Region
	Index  int
}

// String returns the form used in store keys, such as "hobart/0".
func (c CellID) String() string { return fmt.Sprintf("%s/%d", c.Region, c.Index) }

// TaskID names one task of a job.
type TaskID struct {
	Job   JobID
	Index int
}

// String returns the form used on the wire, such as "hobart.0.cure-1.0".
func (t TaskID) String() string { return fmt.Sprintf("%s.%d", t.Job, t.Index) }

// Resources is an amount of worker capacity.
type Resources struct {
	// Cores is in thousandths of a processor core.
	Cores int64
	// Memory is in MiB.
	Memory int64
	// Accel counts whole accelerators.
	Accel int64
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.Cores + o.Cores, r.Memory + o.Memory, r.Accel + o.Accel}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.Cores - o.Cores, r.Memory - o.Memory, r.Accel - o.Accel}
}

// Times returns the amounts of n equal needs.
func (r Resources) Times(n int64) Resources {
	return Resources{r.Cores * n, r.Memory * n, r.Accel * n}
}

// Min returns the smaller of r and o in each dimension.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.Cores, o.Cores), min(r.Memory, o.Memory), min(r.Accel, o.Accel)}
}

// Max returns the larger of r and o in each dimension.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.Cores, o.Cores), max(r.Memory, o.Memory), max(r.Accel, o.Accel)}
}

// FitsIn reports whether r is at most o in each dimension.
func (r Resources) FitsIn(o Resources) bool {
	return r.Cores <= o.Cores && r.Memory <= o.Memory && r.Accel <= o.Accel
}

// Dominant returns the dominant share of r: the largest fraction of total that r
// takes in any one dimension.
func (r Resources) Dominant(total Resources) float64 {
	largest := 0.0
	for _, pair := range [][2]int64{{r.Cores, total.Cores}, {r.Memory, total.Memory}, {r.Accel, total.Accel}} {
		if pair[1] > 0 {
			largest = max(largest, float64(pair[0])/float64(pair[1]))
		}
	}
	return largest
}

// VM is one entry of the platform's list of VMs.
type VM struct {
	// Name is unique within the fleet.
	Name string
	// Kind is "worker", "target" or "entry".
	Kind   string
	Addr   netip.AddrPort
	Region Region
	Zone   Zone
	Rack   string
	// Leaving is set when the platform is about to remove the VM.
	Leaving bool
	// Capacity is the capacity of a worker.
	Capacity Resources `json:"Room"`
	// Service is the service of a target, and Slots the number of requests that
	// it handles at once.
	Service Service
	Slots   int64
}

// Role is the function of a process.
type Role string

// The roles of the processes of an entry VM.
const (
	RoleGate  Role = "gate"
	RoleSched Role = "sched"
)

// Process describes one incarnation of a gate or sched process.
type Process struct {
	ID     SessionID
	VM     string
	Role   Role
	Region Region
	Zone   Zone
	// Peer is the address at which the process answers other gates and scheds.
	Peer netip.AddrPort
}

// Set is a set of comparable values.
type Set[T comparable] map[T]struct{}

// NewSet returns a set of the given values.
func NewSet[T comparable](vals ...T) Set[T] {
	s := make(Set[T], len(vals))
	for _, v := range vals {
		s[v] = struct{}{}
	}
	return s
}

// Has reports whether v is in the set.
func (s Set[T]) Has(v T) bool { _, ok := s[v]; return ok }

// Add puts values into the set.
func (s Set[T]) Add(vals ...T) {
	for _, v := range vals {
		s[v] = struct{}{}
	}
}

// Option is a value that may be absent.
type Option[T any] struct {
	val T
	ok  bool
}

// Some returns a present value.
func Some[T any](v T) Option[T] { return Option[T]{v, true} }

// Get returns the value and whether it is present.
func (o Option[T]) Get() (T, bool) { return o.val, o.ok }

// Row is a value read from the store, with its row version.
type Row[T any] struct {
	Val T
	// Version is 0 for a row that does not exist.
	Version uint64
}

// Earlier returns the earlier of two times. A zero time means never.
func Earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// NewJobID returns the ID of a job in a cell, such as "hobart.0.cure-1".
func NewJobID(c CellID, name string) JobID {
	return JobID(fmt.Sprintf("%s.%d.%s", c.Region, c.Index, name))
}

// Cell returns the cell whose journal holds the job. It returns false if the ID
// does not have the form that NewJobID returns.
func (j JobID) Cell() (CellID, bool) {
	parts := strings.SplitN(string(j), ".", 3)
	if len(parts) != 3 || parts[0] == "" || parts[2] == "" {
		return CellID{}, false
	}
	n, err := strconv.Atoi(parts[1])
	return CellID{Region(parts[0]), n}, err == nil && n >= 0
}

// ParseTaskID is the inverse of TaskID.String.
func ParseTaskID(s string) (TaskID, bool) {
	dot := strings.LastIndexByte(s, '.')
	if dot <= 0 {
		return TaskID{}, false
	}
	n, err := strconv.Atoi(s[dot+1:])
	return TaskID{JobID(s[:dot]), n}, err == nil && n >= 0
}
