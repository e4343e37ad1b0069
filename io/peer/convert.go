package peer

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"chicoryturn/core"
	"chicoryturn/core/cell"
	"chicoryturn/core/rules"
	"chicoryturn/io/wire"
)

func fromProcess(p core.Process) *wire.Process {
	return &wire.Process{
		Id: string(p.ID), Vm: p.VM, Role: string(p.Role), Region: string(p.Region), Zone: string(p.Zone), Peer: p.Peer.String(),
	}
}

func toProcess(p *wire.Process) (core.Process, error) {
	if p == nil {
		return core.Process{}, core.Refuse(core.CodeBadInput, "process is missing")
	}
	addr, err := netip.ParseAddrPort(p.Peer)
	if err != nil || p.Id == "" {
		return core.Process{}, core.Refuse(core.CodeBadInput, "process %q has no valid address", p.Id)
	}
	return core.Process{
		ID: core.SessionID(p.Id), VM: p.Vm, Role: core.Role(p.Role), Region: core.Region(p.Region), Zone: core.Zone(p.Zone), Peer: addr,
	}, nil
}

func fromTime(t time.Time) *timestamppb.Timestamp {
	if t.IsZero() {
		return nil
	}
	return timestamppb.New(t)
}

func toTime(t *timestamppb.Timestamp) time.Time {
	if t == nil {
		return time.Time{}
	}
	return t.AsTime()
}

func fromSpec(s cell.JobSpec) *wire.SubmitRequest {
	r := &wire.SubmitRequest{
		Id: string(s.ID), Team: string(s.Team), Queue: string(s.Queue), Kind: string(s.Kind),
		Submitted: fromTime(s.Submitted), Start: fromTime(s.Start), Due: fromTime(s.Due),
	}
	for _, t := range s.Tasks {
		r.Tasks = append(r.Tasks, &wire.Task{
			Cores: t.Need.Cores, Memory: t.Need.Memory, Accel: t.Need.Accel, Run: durationpb.New(t.Estimate), Command: t.Command,
		})
	}
	return r
}

func toSpec(r *wire.SubmitRequest) cell.JobSpec {
	s := cell.JobSpec{
		ID: core.JobID(r.Id), Team: core.Team(r.Team), Queue: core.Queue(r.Queue), Kind: rules.Kind(r.Kind),
		Submitted: toTime(r.Submitted), Start: toTime(r.Start), Due: toTime(r.Due),
	}
	for _, t := range r.Tasks {
		s.Tasks = append(s.Tasks, cell.TaskSpec{
			Need:     core.Resources{Cores: t.GetCores(), Memory: t.GetMemory(), Accel: t.GetAccel()},
			Estimate: t.GetRun().AsDuration(),
			Command:  t.GetCommand(),
		})
	}
	return s
}

func fromView(v cell.View) *wire.JobView {
	return &wire.JobView{
		Id: string(v.ID), Team: string(v.Team), Queue: string(v.Queue), Kind: string(v.Kind), State: v.State,
		Submitted: fromTime(v.Submitted), Started: fromTime(v.Started), Ended: fromTime(v.Ended), Due: fromTime(v.Due),
		Tasks: int32(v.Tasks), Queued: int32(v.Queued), Running: int32(v.Running), Done: int32(v.Done),
		Failed: int32(v.Failed), Cancelled: int32(v.Cancelled), Blocked: v.Blocked,
	}
}

func toView(v *wire.JobView) cell.View {
	return cell.View{
		ID: core.JobID(v.Id), Team: core.Team(v.Team), Queue: core.Queue(v.Queue), Kind: rules.Kind(v.Kind), State: v.State,
		Submitted: toTime(v.Submitted), Started: toTime(v.Started), Ended: toTime(v.Ended), Due: toTime(v.Due),
		Tasks: int(v.Tasks), Queued: int(v.Queued), Running: int(v.Running), Done: int(v.Done),
		Failed: int(v.Failed), Cancelled: int(v.Cancelled), Blocked: v.Blocked,
	}
}
