// Package deploy describes two sample deployments and starts them in one process on
// loopback: gates, scheds, and fakes of the platform, workers and targets.
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
var rulesFiles embed.FS

// Plan describes a deployment: the numbers and sizes of its VMs, and its settings.
type Plan struct {
	// Name is also the name of the sample rules file.
	Name    string
	Regions []string
	// Gates and Scheds are numbers of processes per region.
	Gates, Scheds int
	// Workers and Targets are numbers of VMs in all regions together.
	Workers, Targets int
	// WorkerRoom is the room of each worker.
	WorkerRoom work.Room
	// TargetSlots is the number of slots of each target.
	TargetSlots int
	// Services are assigned to the targets in turn.
	Services []string
	// SessionTTL and WorkerTTL are the durations of the leases of processes and
	// workers.
	SessionTTL, WorkerTTL time.Duration
	LogLevel              string
	// SchedOptions are passed to each sched.
	SchedOptions []sched.Option
}

// Glaze returns the plan of Southern Glaze's deployment at its present size.
func Glaze() Plan {
	return Plan{
		Name: "glaze", Regions: []string{"hobart", "launceston", "burnie"}, Gates: 3, Scheds: 3,
		Workers: 50, Targets: 50, WorkerRoom: work.Room{Cores: 64000, Memory: 262144}, TargetSlots: 8,
		Services: []string{"fit", "angle"}, SessionTTL: 2 * time.Second, WorkerTTL: 6 * time.Second, LogLevel: "error",
	}
}

// Bagmati returns the plan of Bagmati's deployment at its present size.
func Bagmati() Plan {
	p := Glaze()
	p.Name, p.Regions = "bagmati", []string{"kathmandu", "pokhara", "biratnagar"}
	p.WorkerRoom = work.Room{Cores: 16000, Memory: 32768}
	p.Services = []string{"sheet", "barcode"}
	return p
}

// Rules returns the text of the deployment's sample rules file.
func (p Plan) Rules() []byte {
	text, err := rulesFiles.ReadFile("rules/" + p.Name + ".toml")
	if err != nil {
		panic(err)
	}
	return text
}

// Capacity returns the room of all workers together.
func (p Plan) Capacity() core.Resources {
	n := int64(p.Workers)
	return core.Resources{Cores: p.WorkerRoom.Cores * n, Memory: p.WorkerRoom.Memory * n, Accel: p.WorkerRoom.Accel * n}
}

// Addresses holds the addresses of a deployment's processes.
type Addresses struct {
	// Callers and GateOps are the callers' and the operators' addresses of the gates;
	// SchedOps are the operators' addresses of the scheds.
	Callers, GateOps, SchedOps []netip.AddrPort
}

// Deployment is a running deployment.
type Deployment struct {
	Plan         Plan
	Platform     *fakes.Platform
	Workers      []*fakes.Worker
	Targets      []*fakes.Target
	Addresses    Addresses
	VMs          []store.VM
	group        *errgroup.Group
	cancel       func()
	platformAddr netip.AddrPort
	processCount int
}

// zonesPerRegion is the number of zones over which the VMs of a region are spread.
const zonesPerRegion = 2

// Start starts a deployment on loopback. It runs until the context ends or Stop
// is called.
func Start(ctx context.Context, p Plan) (*Deployment, error) {
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	d := &Deployment{Plan: p, group: group, cancel: cancel, Platform: fakes.NewPlatform(ctx)}
	if err := d.start(ctx); err != nil {
		cancel()
		return nil, fmt.Errorf("starting %s: %w", p.Name, err)
	}
	return d, nil
}

// start starts the platform first, then workers and targets, then the processes
// that call them.
func (d *Deployment) start(ctx context.Context) error {
	l, addr, err := listen()
	if err != nil {
		return err
	}
	d.platformAddr = addr
	d.group.Go(d.Platform.Run)
	proc.Serve(ctx, d.group, l, d.Platform.Handler())
	for i := range d.Plan.Workers {
		if err := d.addWorker(ctx, i); err != nil {
			return err
		}
	}
	for i := range d.Plan.Targets {
		if err := d.addTarget(ctx, i); err != nil {
			return err
		}
	}
	d.Platform.SetVMs(d.VMs)
	for _, region := range d.Plan.Regions {
		for range d.Plan.Gates {
			if err := d.addProcess(ctx, region, core.RoleGate); err != nil {
				return err
			}
		}
		for range d.Plan.Scheds {
			if err := d.addProcess(ctx, region, core.RoleSched); err != nil {
				return err
			}
		}
	}
	d.Platform.SetVMs(d.VMs)
	return nil
}

// listen binds a free loopback port.
func listen() (net.Listener, netip.AddrPort, error) {
	l, err := proc.Listen("deployment", netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	addr, err := netip.ParseAddrPort(l.Addr().String())
	return l, addr, err
}

// The ports of gates and scheds lie below the range from which the operating
// system takes the ports of outgoing connections. Several test programs may run
// on one machine: each allocates ports from blocks that it reserves by listening
// on the first port of the block.
const (
	firstPort  = 12000
	blockSize  = 250
	blockCount = 80
)

// portAllocator allocates ports from the blocks that this program has reserved.
type portAllocator struct {
	mu sync.Mutex
	// listeners hold the first ports of the reserved blocks.
	listeners []net.Listener
	nextPort  int
	portsLeft int
}

var processPorts portAllocator

func loopback(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port))
}

// reserveBlock reserves a free block and makes its ports the next to be allocated.
// Its search starts at a block that depends on the process ID.
func (p *portAllocator) reserveBlock() error {
	var err error
	for i := range blockCount {
		first := firstPort + (os.Getpid()+i)%blockCount*blockSize
		var l net.Listener
		if l, err = proc.Listen("port block", loopback(first)); err == nil {
			p.listeners = append(p.listeners, l)
			p.nextPort, p.portsLeft = first+1, blockSize-1
			return nil
		}
	}
	return err
}

// FreeAddr returns a free loopback address. No other program on the machine gets
// the same address from FreeAddr while this program runs.
func FreeAddr() (netip.AddrPort, error) {
	p := &processPorts
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if p.portsLeft == 0 {
			if err := p.reserveBlock(); err != nil {
				return netip.AddrPort{}, err
			}
		}
		addr := loopback(p.nextPort)
		p.nextPort, p.portsLeft = p.nextPort+1, p.portsLeft-1
		l, err := proc.Listen("free port", addr)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return addr, err
		}
		return addr, l.Close()
	}
}

// regionAndZone returns the region and zone of the VM with index i.
func (d *Deployment) regionAndZone(i int) (region, zone string) {
	region = d.Plan.Regions[i%len(d.Plan.Regions)]
	return region, fmt.Sprintf("%s-%c", region, 'a'+(i/len(d.Plan.Regions))%zonesPerRegion)
}

// workersPerRack is the number of workers in each rack.
const workersPerRack = 8

func (d *Deployment) addWorker(ctx context.Context, i int) error {
	l, addr, err := listen()
	if err != nil {
		return err
	}
	region, zone := d.regionAndZone(i)
	name := fmt.Sprintf("worker%d", i)
	w := fakes.NewWorker(ctx, name, d.Plan.WorkerRoom)
	d.group.Go(w.Run)
	proc.Serve(ctx, d.group, l, w.Handler())
	d.Workers = append(d.Workers, w)
	d.VMs = append(d.VMs, store.VM{
		Name: name, Kind: "worker", Addr: addr.String(), Region: region, Zone: zone,
		Rack: fmt.Sprintf("%s-r%d", region, i/len(d.Plan.Regions)/workersPerRack), Cores: d.Plan.WorkerRoom.Cores, Memory: d.Plan.WorkerRoom.Memory, Accel: d.Plan.WorkerRoom.Accel,
	})
	return nil
}

func (d *Deployment) addTarget(ctx context.Context, i int) error {
	l, addr, err := listen()
	if err != nil {
		return err
	}
	region, zone := d.regionAndZone(i)
	name := fmt.Sprintf("target%d", i)
	t := fakes.NewTarget(ctx, name, d.Plan.TargetSlots)
	d.group.Go(t.Run)
	proc.Serve(ctx, d.group, l, t.Handler())
	d.Targets = append(d.Targets, t)
	service := d.Plan.Services[(i/len(d.Plan.Regions))%len(d.Plan.Services)]
	d.VMs = append(d.VMs, store.VM{
		Name: name, Kind: "target", Addr: addr.String(), Region: region, Zone: zone, Service: service, Slots: int64(d.Plan.TargetSlots),
	})
	return nil
}

func (d *Deployment) addProcess(ctx context.Context, region string, role core.Role) error {
	addrs := make([]netip.AddrPort, 3)
	for i := range addrs {
		var err error
		if addrs[i], err = FreeAddr(); err != nil {
			return err
		}
	}
	d.processCount++
	settings := parse.Settings{
		VM: fmt.Sprintf("entry%d", d.processCount), Region: core.Region(region),
		Zone: core.Zone(fmt.Sprintf("%s-%c", region, 'a'+d.processCount%zonesPerRegion)), Platform: d.platformAddr,
		Callers: addrs[0], Peers: addrs[1], Public: addrs[1], Ops: addrs[2], Cells: 1,
		SessionTTL: d.Plan.SessionTTL, WorkerTTL: d.Plan.WorkerTTL, DrainTimeout: 10 * time.Second, LogLevel: d.Plan.LogLevel, LogFormat: "text",
	}
	d.VMs = append(d.VMs, store.VM{Name: settings.VM, Kind: "entry", Addr: settings.Peers.String(), Region: region, Zone: string(settings.Zone)})
	if role == core.RoleSched {
		d.Addresses.SchedOps = append(d.Addresses.SchedOps, settings.Ops)
		d.group.Go(func() error { return proc.Sched(ctx, settings, nil, d.Plan.SchedOptions...) })
		return nil
	}
	d.Addresses.Callers = append(d.Addresses.Callers, settings.Callers)
	d.Addresses.GateOps = append(d.Addresses.GateOps, settings.Ops)
	d.group.Go(func() error { return proc.Gate(ctx, settings, nil) })
	return nil
}

// Stop stops all parts of the deployment and waits until they have ended.
func (d *Deployment) Stop() error {
	d.cancel()
	return d.group.Wait()
}

// WorkerRecords returns the logs of all workers.
func (d *Deployment) WorkerRecords() []fakes.WorkerRecord {
	var out []fakes.WorkerRecord
	for _, w := range d.Workers {
		out = append(out, w.Record())
	}
	return out
}

// TargetRecords returns the logs of all targets.
func (d *Deployment) TargetRecords() []fakes.TargetRecord {
	var out []fakes.TargetRecord
	for _, t := range d.Targets {
		out = append(out, t.Record())
	}
	return out
}
