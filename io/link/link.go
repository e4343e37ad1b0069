// Package link joins the VMs of the system to the owner of the fleet with one
// grpc stream each. Jobs, answers of the placement policy and questions travel
// up; replies and calls for advice travel down.
package link

import (
	"fmt"
	"time"

	"google.golang.org/grpc/keepalive"
	"google.golang.org/protobuf/types/known/durationpb"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/io/advice"
	"chicoryturn/io/wire"
)

const (
	// aliveEvery and aliveWithin find a connection that has gone silent: grpc
	// allows no shorter pause than 10 s between pings of a client, so the user
	// timeout of TCP, which aliveWithin also sets, does most of it.
	aliveEvery  = 10 * time.Second
	aliveWithin = time.Second
	// sendQueue bounds the messages that wait for a stream.
	sendQueue = 512
	// replyTime bounds the wait for the owner's reply to a question.
	replyTime = 600 * time.Millisecond
	// carryTries bounds the VMs that are asked in turn to carry one call, and
	// shunTime is how long one that the table turns away is not asked again.
	carryTries = 4
	shunTime   = time.Second
	// beatPause is the time between two messages of the owner at the most, and
	// silentAfter how long none comes before it counts as silent: a lost packet
	// takes a few hundred milliseconds.
	beatPause   = 300 * time.Millisecond
	silentAfter = 1200 * time.Millisecond
	// maxMessage bounds one message, in bytes.
	maxMessage = 1 << 20
	// window bounds what is in flight on a stream, and so its memory.
	window = 64 << 10
)

// ClosedError reports that there is no stream to the owner.
type ClosedError struct{ Reason string }

// Error implements error.
func (e *ClosedError) Error() string { return "no link to the owner: " + e.Reason }

// FormatError reports a message that cannot be used.
type FormatError struct{ What string }

// Error implements error.
func (e *FormatError) Error() string { return fmt.Sprintf("message of a peer: %s", e.What) }

var keepAlive = keepalive.ClientParameters{Time: aliveEvery, Timeout: aliveWithin, PermitWithoutStream: true}

var enforce = keepalive.EnforcementPolicy{MinTime: aliveEvery / 2, PermitWithoutStream: true}

var serverAlive = keepalive.ServerParameters{Time: time.Second, Timeout: aliveWithin}

func fromPhase(p jobs.PhaseID) *wire.Phase {
	return &wire.Phase{Job: string(p.Job), Occurrence: int32(p.Occurrence), Phase: int32(p.Phase)}
}

func toPhase(p *wire.Phase) (jobs.PhaseID, error) {
	if p.GetJob() == "" || p.GetOccurrence() < 0 || p.GetPhase() < 0 {
		return jobs.PhaseID{}, &FormatError{"a phase without a name"}
	}
	return jobs.PhaseID{Job: core.JobID(p.Job), Occurrence: int(p.Occurrence), Phase: int(p.Phase)}, nil
}

func fromAsk(a fleet.AdviceRequest) *wire.Advise {
	return &wire.Advise{Phase: fromPhase(a.Phase), Workers: names(a.Workers), Cost: durationpb.New(a.Cost)}
}

func toAsk(a *wire.Advise) (fleet.AdviceRequest, error) {
	id, err := toPhase(a.GetPhase())
	if err != nil {
		return fleet.AdviceRequest{}, err
	}
	return fleet.AdviceRequest{Phase: id, Workers: workers(a.Workers), Cost: a.GetCost().AsDuration()}, nil
}

func names(ids []core.WorkerID) []string {
	out := make([]string, len(ids))
	for i, id := range ids {
		out[i] = string(id)
	}
	return out
}

func workers(names []string) []core.WorkerID {
	out := make([]core.WorkerID, len(names))
	for i, n := range names {
		out[i] = core.WorkerID(n)
	}
	return out
}

func fromResult(r advice.Result) *wire.Advised {
	out := &wire.Advised{Phase: fromPhase(r.Request.Phase), Failed: r.Err != nil, Named: names(r.Request.Workers), Valid: durationpb.New(r.TicketsLeft(time.Now()))}
	for _, a := range r.Allowed {
		out.Allowed = append(out.Allowed, string(a.Worker))
		out.Tickets = append(out.Tickets, a.Ticket)
	}
	return out
}

func toResult(a *wire.Advised) (advice.Result, error) {
	id, err := toPhase(a.GetPhase())
	if err != nil {
		return advice.Result{}, err
	}
	if len(a.Allowed) != len(a.Tickets) {
		return advice.Result{}, &FormatError{"workers and tickets differ in number"}
	}
	r := advice.Result{Request: fleet.AdviceRequest{Phase: id, Workers: workers(a.Named)}, TicketTTL: a.GetValid().AsDuration(), At: time.Now()}
	for i := range a.Allowed {
		r.Allowed = append(r.Allowed, fleet.AllowedWorker{Worker: core.WorkerID(a.Allowed[i]), Ticket: a.Tickets[i]})
	}
	if a.Failed {
		r.Err = &FormatError{"the call for advice has failed"}
	}
	return r, nil
}
