// Command standin runs one of the fakes of package io/fakes as a process: a platform,
// a worker, a target, or a proxy that injects faults into a network link. It is for
// tests only.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"golang.org/x/sync/errgroup"

	"chicoryturn/io/fakes"
	"chicoryturn/io/proc"
	"chicoryturn/io/work"
)

type flags struct {
	addr, admin, proxyTo, name string
	slots                      int
	cores, memory, accel       int64
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	f := flags{name: "stand", slots: 8, cores: 16000, memory: 32768}
	flaggy.SetName("standin")
	flaggy.SetDescription("Runs a fake of a system that chicoryturn depends on, or a proxy with network faults. For tests only.")
	starters := map[string]func(context.Context, *errgroup.Group, flags) error{
		"platform": startPlatform, "worker": startWorker, "target": startTarget, "proxy": startProxy,
	}
	cmds := map[string]*flaggy.Subcommand{}
	for _, name := range []string{"platform", "worker", "target", "proxy"} {
		c := flaggy.NewSubcommand(name)
		c.Description = "Runs a " + name + " for tests."
		c.String(&f.addr, "a", "addr", "address to listen on (IP:port)")
		c.String(&f.name, "n", "name", "name of a worker or target in its records")
		c.Int(&f.slots, "s", "slots", "number of slots of a target")
		c.Int64(&f.cores, "c", "cores", "cores of a worker, in thousandths of a core")
		c.Int64(&f.memory, "m", "memory", "memory of a worker in MiB")
		c.Int64(&f.accel, "x", "accel", "number of accelerators of a worker")
		c.String(&f.proxyTo, "t", "to", "address to which a proxy forwards connections (IP:port)")
		c.String(&f.admin, "d", "admin", "address of the interface that sets the faults of a proxy (IP:port)")
		flaggy.AttachSubcommand(c, 1)
		cmds[name] = c
	}
	flaggy.Parse()
	for name, c := range cmds {
		if c.Used {
			group, ctx := errgroup.WithContext(ctx)
			if err := starters[name](ctx, group, f); err != nil {
				return err
			}
			return group.Wait()
		}
	}
	flaggy.ShowHelp("")
	return nil
}

// parseAddr parses the value of an address flag.
func parseAddr(text string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return a, fmt.Errorf("address %q: %w", text, err)
	}
	return a, nil
}

func listen(text string) (net.Listener, error) {
	a, err := parseAddr(text)
	if err != nil {
		return nil, err
	}
	return proc.Listen("stand-in", a)
}

func serve(ctx context.Context, group *errgroup.Group, text string, h http.Handler) error {
	l, err := listen(text)
	if err != nil {
		return err
	}
	proc.Serve(ctx, group, l, h)
	return nil
}

func startPlatform(ctx context.Context, group *errgroup.Group, f flags) error {
	p := fakes.NewPlatform(ctx)
	group.Go(p.Run)
	return serve(ctx, group, f.addr, p.Handler())
}

func startWorker(ctx context.Context, group *errgroup.Group, f flags) error {
	w := fakes.NewWorker(ctx, f.name, work.Room{Cores: f.cores, Memory: f.memory, Accel: f.accel})
	group.Go(w.Run)
	return serve(ctx, group, f.addr, w.Handler())
}

func startTarget(ctx context.Context, group *errgroup.Group, f flags) error {
	t := fakes.NewTarget(ctx, f.name, f.slots)
	group.Go(t.Run)
	return serve(ctx, group, f.addr, t.Handler())
}

func startProxy(ctx context.Context, group *errgroup.Group, f flags) error {
	forwardTo, err := parseAddr(f.proxyTo)
	if err != nil {
		return err
	}
	l, err := listen(f.addr)
	if err != nil {
		return err
	}
	p := fakes.NewProxy(forwardTo)
	group.Go(func() error { return p.Serve(ctx, l) })
	return serve(ctx, group, f.admin, p.Handler())
}
