// Package deploy describes the users' deployments and starts them in one
// process on loopback: gates, scheds and the stand-ins around them.
package deploy

import (
	"context"
	"embed"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"chicoryturn/core"
	"chicoryturn/io/fakes"
	"chicoryturn/io/parse"
	"chicoryturn/io/proc"
	"chicoryturn/io/sched"
	"chicoryturn/io/store"
	"chicoryturn/io/work"
)

//go:embed rules/*.toml
var files embed.FS

// Plan is the size of a deployment.
type Plan struct {
	Name    string
	Regions []string
	// Gates and Scheds are counted per region.
	Gates, Scheds int
	// Workers and Targets are counted over all regions.
	Workers, Targets int
	Room             work.Room
	Slots            int
	Services         []string
	Session, Worker  time.Duration
	Level            string
	Options          []sched.Option
}

// Glaze returns the deployment of Southern Glaze at today's size.
func Glaze() Plan {
	return Plan{
		Name: "glaze", Regions: []string{"hobart", "launceston", "burnie"}, Gates: 3, Scheds: 3,
		Workers: 50, Targets: 50, Room: work.Room{Cores: 64000, Memory: 262144}, Slots: 8,
		Services: []string{"fit", "angle"}, Session: 2 * time.Second, Worker: 6 * time.Second, Level: "error",
	}
}

// Bagmati returns the deployment of Bagmati at today's size.
func Bagmati() Plan {
	p := Glaze()
	p.Name, p.Regions = "bagmati", []string{"kathmandu", "pokhara", "biratnagar"}
	p.Room = work.Room{Cores: 16000, Memory: 32768}
	p.Services = []string{"sheet", "barcode"}
	return p
}

// Rules returns the sample rules file of a deployment.
func (p Plan) Rules() []byte {
	text, err := files.ReadFile("rules/" + p.Name + ".toml")
	if err != nil {
		panic(err)
	}
	return text
}

// Total is what the workers of a fleet hold together.
func (p Plan) Total() core.Resources {
	n := int64(p.Workers)
	return core.Resources{Cores: p.Room.Cores * n, Memory: p.Room.Memory * n, Accel: p.Room.Accel * n}
}

// Addresses are the addresses of a deployment's processes.
type Addresses struct {
	// Callers and Ops are those of the gates, Scheds the operators' addresses
	// of the scheds.
	Callers, Ops, Scheds []netip.AddrPort
}

// Deployment is a running deployment.
type Deployment struct {
	Plan       Plan
	Platform   *fakes.Platform
	Workers    []*fakes.Worker
	Targets    []*fakes.Target
	Addresses  Addresses
	VMs        []store.VM
	group      *errgroup.Group
	cancel     func()
	platformAt netip.AddrPort
	entries    int
}

// zonesPerRegion is the number of data centres that a plan spreads VMs over.
const zonesPerRegion = 2

// Start starts a deployment on loopback.
func Start(ctx context.Context, p Plan) (*Deployment, error) {
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	s := &Deployment{Plan: p, group: group, cancel: cancel, Platform: fakes.NewPlatform(ctx)}
	if err := s.start(ctx); err != nil {
		cancel()
		return nil, fmt.Errorf("starting %s: %w", p.Name, err)
	}
	return s, nil
}

func (s *Deployment) start(ctx context.Context) error {
	l, addr, err := listen()
	if err != nil {
		return err
	}
	s.platformAt = addr
	s.group.Go(s.Platform.Run)
	proc.Serve(ctx, s.group, l, s.Platform.Handler())
	for i := range s.Plan.Workers {
		if err := s.addWorker(ctx, i); err != nil {
			return err
		}
	}
	for i := range s.Plan.Targets {
		if err := s.addTarget(ctx, i); err != nil {
			return err
		}
	}
	s.Platform.SetVMs(s.VMs)
	for _, region := range s.Plan.Regions {
		for range s.Plan.Gates {
			if err := s.addProcess(ctx, region, core.RoleGate); err != nil {
				return err
			}
		}
		for range s.Plan.Scheds {
			if err := s.addProcess(ctx, region, core.RoleSched); err != nil {
				return err
			}
		}
	}
	s.Platform.SetVMs(s.VMs)
	return nil
}

// listen binds a free loopback port.
func listen() (net.Listener, netip.AddrPort, error) {
	l, err := proc.Listen("site", netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	addr, err := netip.ParseAddrPort(l.Addr().String())
	return l, addr, err
}

// Ports for processes lie below the range from which the system takes the
// ports of outgoing connections. They are taken from blocks; a listener on a
// block's first port keeps it from every other process on the machine.
const (
	firstPort  = 12000
	blockSize  = 250
	blockCount = 80
)

// ports hands out the ports of the blocks that this process holds.
type ports struct {
	mu    sync.Mutex
	guard []net.Listener
	next  int
	left  int
}

var shared ports

func at(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port))
}

// block takes the next free block.
func (p *ports) block() error {
	var err error
	for i := range blockCount {
		first := firstPort + (os.Getpid()+i)%blockCount*blockSize
		var l net.Listener
		if l, err = proc.Listen("block", at(first)); err == nil {
			p.guard = append(p.guard, l)
			p.next, p.left = first+1, blockSize-1
			return nil
		}
	}
	return err
}

// FreeAddr returns a loopback address that is free now and that no other
// process takes meanwhile.
func FreeAddr() (netip.AddrPort, error) {
	p := &shared
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if p.left == 0 {
			if err := p.block(); err != nil {
				return netip.AddrPort{}, err
			}
		}
		addr := at(p.next)
		p.next, p.left = p.next+1, p.left-1
		l, err := proc.Listen("free", addr)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return addr, err
		}
		return addr, l.Close()
	}
}

func (s *Deployment) region(i int) (region, zone string) {
	region = s.Plan.Regions[i%len(s.Plan.Regions)]
	return region, fmt.Sprintf("%s-%c", region, 'a'+(i/len(s.Plan.Regions))%zonesPerRegion)
}

const perRack = 8

func (s *Deployment) addWorker(ctx context.Context, i int) error {
	l, addr, err := listen()
	if err != nil {
		return err
	}
	region, zone := s.region(i)
	name := fmt.Sprintf("worker%d", i)
	w := fakes.NewWorker(ctx, name, s.Plan.Room)
	s.group.Go(w.Run)
	proc.Serve(ctx, s.group, l, w.Handler())
	s.Workers = append(s.Workers, w)
	s.VMs = append(s.VMs, store.VM{
		Name: name, Kind: "worker", Addr: addr.String(), Region: region, Zone: zone,
		Rack: fmt.Sprintf("%s-r%d", region, i/len(s.Plan.Regions)/perRack), Cores: s.Plan.Room.Cores, Memory: s.Plan.Room.Memory, Accel: s.Plan.Room.Accel,
	})
	return nil
}

func (s *Deployment) addTarget(ctx context.Context, i int) error {
	l, addr, err := listen()
	if err != nil {
		return err
	}
	region, zone := s.region(i)
	name := fmt.Sprintf("target%d", i)
	t := fakes.NewTarget(ctx, name, s.Plan.Slots)
	s.group.Go(t.Run)
	proc.Serve(ctx, s.group, l, t.Handler())
	s.Targets = append(s.Targets, t)
	service := s.Plan.Services[(i/len(s.Plan.Regions))%len(s.Plan.Services)]
	s.VMs = append(s.VMs, store.VM{
		Name: name, Kind: "target", Addr: addr.String(), Region: region, Zone: zone, Service: service, Slots: int64(s.Plan.Slots),
	})
	return nil
}

func (s *Deployment) addProcess(ctx context.Context, region string, role core.Role) error {
	addrs := make([]netip.AddrPort, 3)
	for i := range addrs {
		var err error
		if addrs[i], err = FreeAddr(); err != nil {
			return err
		}
	}
	s.entries++
	set := parse.Settings{
		VM: fmt.Sprintf("entry%d", s.entries), Region: core.Region(region),
		Zone: core.Zone(fmt.Sprintf("%s-%c", region, 'a'+s.entries%zonesPerRegion)), Platform: s.platformAt,
		Callers: addrs[0], Peers: addrs[1], Public: addrs[1], Ops: addrs[2], Cells: 1,
		Session: s.Plan.Session, Worker: s.Plan.Worker, Drain: 10 * time.Second, Level: s.Plan.Level, Form: "text",
	}
	s.VMs = append(s.VMs, store.VM{Name: set.VM, Kind: "entry", Addr: set.Peers.String(), Region: region, Zone: string(set.Zone)})
	if role == core.RoleSched {
		s.Addresses.Scheds = append(s.Addresses.Scheds, set.Ops)
		s.group.Go(func() error { return proc.Sched(ctx, set, nil, s.Plan.Options...) })
		return nil
	}
	s.Addresses.Callers = append(s.Addresses.Callers, set.Callers)
	s.Addresses.Ops = append(s.Addresses.Ops, set.Ops)
	s.group.Go(func() error { return proc.Gate(ctx, set, nil) })
	return nil
}

// Stop ends the deployment.
func (s *Deployment) Stop() error {
	s.cancel()
	return s.group.Wait()
}

// WorkerRecords returns what all workers have recorded.
func (s *Deployment) WorkerRecords() []fakes.WorkerRecord {
	var out []fakes.WorkerRecord
	for _, w := range s.Workers {
		out = append(out, w.Record())
	}
	return out
}

// TargetRecords returns what all targets have recorded.
func (s *Deployment) TargetRecords() []fakes.TargetRecord {
	var out []fakes.TargetRecord
	for _, t := range s.Targets {
		out = append(out, t.Record())
	}
	return out
}
