package experiment

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"arbutusfront.dev/arbutus-lab/cluster"
	"arbutusfront.dev/arbutus-lab/store"
)

// makeChange records the change and makes it.
func (s *session) makeChange(ctx context.Context, c Change, start time.Time) error {
	s.recordChange(c, start)
	switch c.Action {
	case Drain, Undrain:
		return s.ctl(ctx, "server", string(c.Action), c.Target)
	case DomainOut:
		return s.ctl(ctx, "domain", "out", c.Target)
	case DomainIn:
		return s.ctl(ctx, "domain", "in", c.Target)
	case AddServer:
		return s.addServer(c)
	case ReplaceBalancer:
		return s.replaceBalancer(ctx, c.Target)
	case Kill:
		return s.signal(c.Target, syscall.SIGKILL)
	case Freeze:
		return s.signal(c.Target, syscall.SIGSTOP)
	case Thaw:
		return s.signal(c.Target, syscall.SIGCONT)
	case StoreDown:
		return s.cluster.SetFaults(ctx, store.Faults{Down: true})
	case StoreUp:
		return s.cluster.SetFaults(ctx, store.Faults{})
	default:
		return fmt.Errorf("unknown action %q", c.Action)
	}
}

// recordChange records the change as an event, and its effect on the backend servers as a
// step.
func (s *session) recordChange(c Change, start time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := string(c.Action)
	if c.Target != "" {
		name += " " + c.Target
	}
	s.events = append(s.events, Event{AtMillis: time.Since(start).Milliseconds(), Name: name})
	switch c.Action {
	case Drain, Undrain:
		s.drained[c.Target] = c.Action == Drain
	case DomainOut:
		s.domainOutAt[c.Target] = time.Now()
	case DomainIn:
		s.domainOutAt[c.Target] = time.Time{}
	case Kill, Freeze:
		s.down[c.Target], s.failed[c.Target] = true, true
	case Thaw:
		s.down[c.Target] = false
	case AddServer:
		s.servers[c.Target] = cluster.Server{Name: c.Target, Service: s.x.Service, Domain: c.Domain}
	default:
		return
	}
	s.recordStep()
}

// addServer starts the added backend server and its agent, and waits until it is ready.
func (s *session) addServer(c Change) error {
	s.mu.Lock()
	server := s.servers[c.Target]
	s.mu.Unlock()
	work := time.Duration(s.x.WorkMillis) * time.Millisecond
	if err := s.cluster.StartServer(server, "-work", work.String()); err != nil {
		return err
	}
	return s.cluster.AwaitReady(readyTimeout, c.Target)
}

// replaceBalancer starts another balancer in the failure domain of the named one. Once it
// is ready and gets packets, it stops the named one gracefully.
func (s *session) replaceBalancer(ctx context.Context, name string) error {
	s.mu.Lock()
	i := slices.Index(s.balancers, name)
	if i < 0 {
		s.mu.Unlock()
		return fmt.Errorf("no balancer %q was started", name)
	}
	added := fmt.Sprintf("balancer-%d", len(s.balancers)+1)
	s.balancers = append(s.balancers, added)
	all := slices.Clone(s.balancers)
	s.mu.Unlock()
	if err := s.cluster.StartBalancer(added, s.domain(i)); err != nil {
		return err
	}
	if err := s.cluster.AwaitReady(readyTimeout, added); err != nil {
		return err
	}
	if err := s.cluster.SetBalancers(ctx, all...); err != nil {
		return err
	}
	return s.cluster.Stop(name, stopTimeout)
}

// signal sends the signal to the named process.
func (s *session) signal(name string, signal syscall.Signal) error {
	p := s.cluster.Process(name)
	if p == nil {
		return fmt.Errorf("no process %q was started", name)
	}
	return p.Signal(signal)
}

// ctl runs arbutusctl and returns its error.
func (s *session) ctl(ctx context.Context, args ...string) error {
	_, err := s.cluster.Ctl(ctx, args...)
	return err
}
