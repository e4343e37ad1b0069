// Package link connects each VM of the system to the owner of the fleet by one
// gRPC stream. VMs send accepted jobs, results of advice requests and questions
// to the owner; the owner sends advice requests, room hints and replies. Both
// sides forward table calls to each other.
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

// KeepAliveTimeout is how long a ping of gRPC, and data that was sent, may stay unacknowledged.
const KeepAliveTimeout = time.Second

const (
	// keepAliveInterval detects a dead connection. gRPC allows a client at most one ping every
	// 10 s, so most dead connections are detected by the TCP user timeout of KeepAliveTimeout.
	keepAliveInterval = 10 * time.Second
	// sendQueueLen bounds the messages queued for one stream.
	sendQueueLen = 512
	// maxAnswers bounds the questions of one VM that the owner answers at a time. A question
	// beyond them has no reply.
	maxAnswers = 64
	// maxForwardAttempts bounds the VMs to which one call is forwarded in turn.
	// forwardBackoff is how long a VM is not chosen after a call has failed
	// there.
	maxForwardAttempts = 4
	forwardBackoff     = time.Second
	// emptyMessageInterval is the time between two empty messages from the
	// owner. A VM closes the stream after ownerSilenceTimeout without any
	// message; this time-out exceeds the few hundred milliseconds that TCP
	// takes to resend a lost packet.
	emptyMessageInterval = 300 * time.Millisecond
	ownerSilenceTimeout  = 1200 * time.Millisecond
	// maxMessageBytes bounds the size of one message.
	maxMessageBytes = 1 << 20
	// maxHeaderBytes bounds the headers of a stream, which are some 200 bytes.
	maxHeaderBytes = 16 << 10
	// maxStreams bounds the streams of a connection, of which a VM opens one.
	maxStreams = 4
	// helloTimeout bounds the time until a connection has been set up, and then until the first
	// message of a stream. Both follow at once; the time allows for lost packets.
	helloTimeout = 3 * time.Second
	// flowControlWindow bounds the bytes in flight on a stream, and so its
	// memory.
	flowControlWindow = 64 << 10
)

// ClosedError reports that there is no stream to the owner.
type ClosedError struct{ Reason string }

// Error implements error.
func (e *ClosedError) Error() string { return "no stream to the owner: " + e.Reason }

// FormatError reports an invalid message from the other side of a stream.
type FormatError struct{ Reason string }

// Error implements error.
func (e *FormatError) Error() string { return fmt.Sprintf("invalid message from a peer: %s", e.Reason) }

// AdviceError reports an advice request that has failed on another VM.
type AdviceError struct{}

// Error implements error.
func (*AdviceError) Error() string { return "the advice request failed" }

var clientKeepAlive = keepalive.ClientParameters{Time: keepAliveInterval, Timeout: KeepAliveTimeout, PermitWithoutStream: true}

// keepAlivePolicy allows twice as many pings as clients send.
var keepAlivePolicy = keepalive.EnforcementPolicy{MinTime: keepAliveInterval / 2, PermitWithoutStream: true}

// serverKeepAlive sends pings at the shortest interval that gRPC allows a server.
var serverKeepAlive = keepalive.ServerParameters{Time: time.Second, Timeout: KeepAliveTimeout}

// The functions below convert between core types and messages: fromX returns a message
// and toX the core type.

func fromPhase(p jobs.PhaseID) *wire.Phase {
	return &wire.Phase{Job: string(p.Job), Occurrence: int32(p.Occurrence), Phase: int32(p.Phase)}
}

func toPhase(p *wire.Phase) (jobs.PhaseID, error) {
	if p.GetJob() == "" || p.GetOccurrence() < 0 || p.GetPhase() < 0 {
		return jobs.PhaseID{}, &FormatError{"phase without a job name or with a negative number"}
	}
	return jobs.PhaseID{Job: core.JobID(p.Job), Occurrence: int(p.Occurrence), Phase: int(p.Phase)}, nil
}

func fromAdviceRequest(a fleet.AdviceRequest) *wire.Advise {
	return &wire.Advise{Phase: fromPhase(a.Phase), Workers: workerNames(a.Workers), Cost: durationpb.New(a.Cost)}
}

func toAdviceRequest(a *wire.Advise) (fleet.AdviceRequest, error) {
	id, err := toPhase(a.GetPhase())
	if err != nil {
		return fleet.AdviceRequest{}, err
	}
	return fleet.AdviceRequest{Phase: id, Workers: workerIDs(a.Workers), Cost: a.GetCost().AsDuration()}, nil
}

func workerNames(ids []core.WorkerID) []string {
	out := make([]string, len(ids))
	for i, id := range ids {
		out[i] = string(id)
	}
	return out
}

func workerIDs(names []string) []core.WorkerID {
	out := make([]core.WorkerID, len(names))
	for i, n := range names {
		out[i] = core.WorkerID(n)
	}
	return out
}

func fromResult(r advice.Result) *wire.Advised {
	out := &wire.Advised{Phase: fromPhase(r.Request.Phase), Failed: r.Err != nil, Named: workerNames(r.Request.Workers), Valid: durationpb.New(r.TicketsLeft(time.Now()))}
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
		return advice.Result{}, &FormatError{"the number of workers differs from the number of tickets"}
	}
	r := advice.Result{Request: fleet.AdviceRequest{Phase: id, Workers: workerIDs(a.Named)}, TicketTTL: a.GetValid().AsDuration(), At: time.Now()}
	for i := range a.Allowed {
		r.Allowed = append(r.Allowed, fleet.AllowedWorker{Worker: core.WorkerID(a.Allowed[i]), Ticket: a.Tickets[i]})
	}
	if a.Failed {
		r.Err = &AdviceError{}
	}
	return r, nil
}
