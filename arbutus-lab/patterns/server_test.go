package patterns

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"arbutusfront.dev/arbutus-agent/passthrough"
	agentstate "arbutusfront.dev/arbutus-agent/state"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/ipv4"
)

const (
	serverNumber = 5000
	// shedMark begins an answer that tells that the request was not run.
	shedMark = 'X'
	// errorAnswer tells that the request failed.
	errorAnswer = "HTTP/1.1 500 Internal Server Error"
)

// server is a backend server with its agent. It runs slots requests at once, queues some
// more, and sheds the rest.
type server struct {
	field  *field
	domain string
	self   member.Member
	node   *agentstate.Node
	state  *passthrough.Server
	engine *passthrough.Engine

	mu     sync.Mutex
	flows  map[ipv4.FlowKey]bool
	busy   int
	queued []ipv4.FlowKey
	// factor is how many times as long as usual requests take.
	factor   float64
	down     bool
	dark     bool
	born     int64
	sequence uint64
	cold     time.Duration
	// failing is the share of requests that it answers by an error.
	failing float64
	errors  int
	// taken are when flows came.
	taken []time.Time
}

// join has the agent know the deployment, and the backend server announce itself.
func (s *server) join() {
	s.node.Adopt(s.field.view())
	s.announce()
}

func (s *server) announce() {
	s.mu.Lock()
	s.sequence++
	a := passthrough.Announcement{
		ID: s.self.Name, StartedUnixMillis: s.born, Sequence: s.sequence, ColdFor: s.cold, Slots: slots,
	}
	down := s.down
	s.mu.Unlock()
	if s.field.rule.plain {
		// Without slots the agent does not know when its backend server is busy.
		a.Slots = 0
	}
	if !down {
		s.state.Announce(a)
		s.field.after(400*time.Millisecond, s.announce)
	}
}

func (s *server) identity() member.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.self
}

func (s *server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down || s.dark
}

// receive takes a datagram to the agent.
func (s *server) receive(from netip.AddrPort, b []byte) {
	s.mu.Lock()
	dark := s.dark
	s.mu.Unlock()
	if dark {
		return
	}
	if h, packet, err := capsule.ParsePacket(b, nil); err == nil {
		s.engine.HandlePacket(from, h, packet)
	}
}

// take takes a packet from the agent. It runs on a goroutine of its own, as the backend
// server is another process.
func (s *server) take(b []byte) { s.field.after(0, func() { s.handle(b) }) }

func (s *server) handle(b []byte) {
	p, err := ipv4.Parse(b)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := p.Key()
	switch {
	case s.down || s.dark:
	case p.IsSYN():
		s.flows[key] = true
		s.taken = append(s.taken, time.Now())
		s.send(key, ipv4.FlagSYN|ipv4.FlagACK, serverNumber, nil)
	case !s.flows[key]:
		ipv4.Mark(b)
		s.field.after(0, func() { s.engine.HandleOutbound(b) })
	case p.Flags().Has(ipv4.FlagFIN):
		delete(s.flows, key)
		s.send(key, ipv4.FlagFIN|ipv4.FlagACK, serverNumber+100, nil)
	case len(p.Payload()) > 0:
		s.request(key)
	default:
	}
}

// request runs, queues or sheds a request. The caller holds the mutex.
func (s *server) request(key ipv4.FlowKey) {
	switch {
	case s.busy < slots:
		s.busy++
		s.run(key)
	case len(s.queued) < queue:
		s.queued = append(s.queued, key)
	default:
		s.send(key, ipv4.FlagACK, serverNumber+1, []byte{shedMark})
	}
}

func (s *server) run(key ipv4.FlowKey) {
	born := s.born
	work := time.Duration(s.factor * s.field.work() * float64(meanWork))
	s.field.after(work, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.down || s.dark || born != s.born {
			return
		}
		s.send(key, ipv4.FlagACK, serverNumber+1, s.answer())
		if len(s.queued) == 0 {
			s.busy--
			return
		}
		next := s.queued[0]
		s.queued = s.queued[1:]
		s.run(next)
	})
}

func (s *server) answer() []byte {
	if s.failing > 0 && s.field.work()-0.5 < s.failing {
		s.errors++
		return []byte(errorAnswer)
	}
	return []byte("HTTP/1.1 200 OK")
}

func (s *server) send(key ipv4.FlowKey, flags ipv4.Flags, sequence uint32, payload []byte) {
	b := ipv4.Build(ipv4.Segment{
		Key: key, FromService: true, Flags: flags, Sequence: sequence, Acknowledgment: 1, Payload: payload,
	})
	s.field.after(0, func() { s.engine.HandleOutbound(b) })
}

// crash loses all that the backend server has; its agent lives.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
	s.lose()
}

// restart starts the backend server, which is slow for a while.
func (s *server) restart(cold time.Duration, factor float64) {
	s.mu.Lock()
	s.lose()
	s.down, s.dark, s.born, s.sequence = false, false, time.Now().UnixMilli(), 0
	s.cold, s.factor = cold, factor
	s.self = s.self.WithServerRun(uint64(s.born))
	self := s.self
	s.mu.Unlock()
	s.field.known(self)
	s.announce()
	s.field.after(cold, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.cold, s.factor = 0, 1
	})
}

// powerOff takes the machine with the agent and the backend server away.
func (s *server) powerOff() {
	s.mu.Lock()
	s.dark = true
	s.lose()
	s.mu.Unlock()
	s.field.after(deadBound, func() {
		if s.isDown() {
			s.field.known(s.identity().WithDeath())
		}
	})
}

func (s *server) lose() {
	s.flows = make(map[ipv4.FlowKey]bool)
	s.busy, s.queued = 0, nil
}

func (s *server) setFailing(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = share
}

// takenAt are the times at which flows came so far.
func (s *server) takenAt() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.taken)
}

// takenWithin counts the flows that came in the time before now.
func (s *server) takenWithin(d time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, at := range s.taken {
		if time.Since(at) < d {
			n++
		}
	}
	return n
}

func (s *server) errorCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.errors
}
