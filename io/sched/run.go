package sched

import "context"

// Run runs the control goroutine of the sched until the loop's context ends.
func (s *Sched) Run(context.Context) error { return s.loop.Run(s) }

// Ready reports whether the session of the process is live, so that it can own
// cells.
func (s *Sched) Ready(ctx context.Context) bool {
	d, err := s.Dump(ctx)
	dump, ok := d.(Dump)
	return err == nil && ok && dump.Agent.State == "live"
}
