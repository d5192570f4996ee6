package fabric

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"arbutusfront.dev/common/protocol/frame"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/transport/datagram"
)

// datagramHeaderBytes are the headers of IPv4 and UDP of one datagram.
const datagramHeaderBytes = 20 + 8

// Kinds of packets, in the order in which they are forwarded while SYNs are given up.
const (
	otherPacket packetKind = iota
	firstSYN
	repeatedSYN
	packetKinds
)

type (
	packetKind int

	// shedder gives up SYNs by the decisions of its overload.
	shedder struct {
		now func() time.Time
		// sentBytes counts what this process sends to agents, and to callers as resets.
		sentBytes atomic.Int64
		refused   map[ipv4.Reason]tally.Counter
		// lostPackets counts the packets that the socket's buffer has lost.
		lostPackets tally.Counter

		// mu guards what a dump reads: the reading goroutine changes it.
		mu       sync.Mutex
		overload overload
		// started is the state at which SYNs began to be given up; zero while none are.
		started sheddingStart
		// refusedSYNs and droppedSYNs are counted since the process started.
		refusedSYNs, droppedSYNs int64

		// The reading goroutine alone uses the fields below. observedBytes is sentBytes as
		// of the last batch. lost is the number of lost packets as of lostReadAt.
		observedBytes int64
		lost          uint32
		lostReadAt    time.Time
		kinds         [datagram.BatchSize]packetKind
		ordered       [datagram.BatchSize]datagram.Message
		resets        []datagram.Message
	}

	// sheddingStart is when and why SYNs began to be given up, and the numbers of SYNs that
	// had been given up before.
	sheddingStart struct {
		at               time.Time
		reason           ipv4.Reason
		refused, dropped int64
	}

	// OverloadDump is what a balancer observes of its own load, for its dump.
	OverloadDump struct {
		// Reason says why SYNs are given up, which began SinceMillis ago. It is empty while
		// none are.
		Reason      string `json:"reason"`
		SinceMillis int64  `json:"since_millis"`
		// GivenUpForCPU and GivenUpForBandwidth are percentages of the SYNs; the larger one
		// applies. Dropped is the percentage of these that are dropped without a reset
		// although they could be refused.
		GivenUpForCPU       int `json:"given_up_for_cpu_percent"`
		GivenUpForBandwidth int `json:"given_up_for_bandwidth_percent"`
		Dropped             int `json:"dropped_percent"`
		// BacklogMillis is for how long the balancer has found packets in its socket
		// whenever it read; 0 if the last batch was not full.
		BacklogMillis int64 `json:"backlog_millis"`
		// LinkMbps is the link's rate, 0 if unknown, and SentMbps what the balancer sends.
		LinkMbps float64 `json:"link_mbps"`
		SentMbps float64 `json:"sent_mbps"`
		// RefusedSYNs and DroppedSYNs are counted since the process started.
		RefusedSYNs int64 `json:"refused_syns"`
		DroppedSYNs int64 `json:"dropped_syns"`
	}
)

// WithLinkRate sets the rate of the machine's network link. A balancer that sends at nearly this
// rate gives up SYNs. The default is 0: the rate is unknown.
func WithLinkRate(mbps float64) Option {
	return func(f *Forwarder) {
		if f.shedder != nil {
			f.shedder.overload = newOverload(mbps)
		}
	}
}

func newShedder(scope tally.Scope) *shedder {
	s := &shedder{
		now:         time.Now,
		refused:     make(map[ipv4.Reason]tally.Counter),
		lostPackets: scope.Counter("packets_lost_in_socket"),
		resets:      datagram.NewBatch(datagram.BatchSize),
	}
	for _, reason := range []ipv4.Reason{dropShortOfCPU, dropShortOfBandwidth} {
		s.refused[reason] = scope.Tagged(map[string]string{"reason": string(reason)}).Counter("syns_refused")
	}
	return s
}

// Overload returns what the balancer observes of its own load, or nil if PacketPriority is
// switched off.
func (f *Forwarder) Overload() *OverloadDump {
	if f.shedder == nil {
		return nil
	}
	return f.shedder.dump()
}

// handleBatch forwards the packets of a batch, less the SYNs that are given up.
func (f *Forwarder) handleBatch(in, out []datagram.Message) {
	if f.shedder == nil {
		f.lastReadUnixNano.Store(time.Now().UnixNano())
		f.forward(in, out)
		return
	}
	readAt := f.shedder.now()
	f.lastReadUnixNano.Store(readAt.UnixNano())
	f.forward(f.shed(in, readAt), out)
	f.observeBatch(readAt, len(in) == datagram.BatchSize)
}

// shed gives up SYNs of the batch if CPU or bandwidth is short, and returns the other packets.
// The batch is reordered then: SYNs are behind all other packets, and repeated ones last. Packets of
// one kind remain in order. If the socket doesn't tell whether a read has waited, no read counts as
// one of a backlog. While the balancer forwards nothing, or has no configuration, no SYN
// is given up for being a SYN.
func (f *Forwarder) shed(in []datagram.Message, readAt time.Time) []datagram.Message {
	reason := f.shedder.begin(readAt, f.socket.ReadWaited == nil || f.socket.ReadWaited())
	if reason == "" || !f.mayForward.Load() || f.node.Routes().Revision.IsZero() {
		return in
	}
	counts := f.order(in)
	syns := in[counts[otherPacket]:]
	d := f.shedder.decide(readAt, len(syns))
	mayRefuse := min(d.refused, max(0, counts[firstSYN]-d.forwarded))
	f.giveUp(syns[d.forwarded:], mayRefuse, reason)
	return in[:counts[otherPacket]+d.forwarded]
}

// order sorts the packets by kind, and returns the number of each.
func (f *Forwarder) order(in []datagram.Message) [packetKinds]int {
	s := f.shedder
	var counts, next [packetKinds]int
	for i := range in {
		s.kinds[i] = f.kindOf(in[i].Bytes())
		counts[s.kinds[i]]++
	}
	next[firstSYN] = counts[otherPacket]
	next[repeatedSYN] = counts[otherPacket] + counts[firstSYN]
	for i := range in {
		k := s.kinds[i]
		s.ordered[next[k]] = in[i]
		next[k]++
	}
	copy(in, s.ordered[:len(in)])
	return counts
}

// kindOf returns the kind of a packet. An unreadable one counts as otherPacket, so that it is
// dropped for the reason why it can't be read.
func (f *Forwarder) kindOf(b []byte) packetKind {
	p, err := f.codec.Parse(b)
	switch {
	case err != nil || !p.IsSYN():
		return otherPacket
	case p.Retransmits > 0 || f.placement != nil && f.placement.remembers(p):
		return repeatedSYN
	default:
		return firstSYN
	}
}

// giveUp refuses the leading SYNs, mayRefuse in number, as far as possible. It drops the others.
func (f *Forwarder) giveUp(syns []datagram.Message, mayRefuse int, reason ipv4.Reason) {
	n := 0
	for i := range syns {
		if i < mayRefuse && f.appendRefusal(&f.shedder.resets[n], syns[i].Bytes(), reason) {
			n++
			continue
		}
		f.handleUnforwarded(reason, syns[i].Bytes())
	}
	sent := 0
	if n > 0 {
		sent, _ = f.socket.WriteBatch(f.shedder.resets[:n])
	}
	f.recordSent(f.shedder.resets[:sent])
	f.refused.Inc(int64(sent))
	f.shedder.recordGivenUp(reason, sent, len(syns)-sent)
}

// appendRefusal makes m the reset of the SYN's flow, and reports whether the SYN may be refused: its
// caller can be reached, and the format says that it is the first copy. A flow of which an earlier
// copy may have reached an agent must not be reset.
func (f *Forwarder) appendRefusal(m *datagram.Message, b []byte, reason ipv4.Reason) bool {
	if f.addressOf == nil || f.placement == nil {
		return false
	}
	p, err := f.codec.Parse(b)
	if err != nil || p.RepeatedIn == 0 {
		return false
	}
	reset := f.codec.AppendReset(m.Buffer[:0], p)
	m.N, m.Peer = len(reset), f.addressOf(p.Key.Caller)
	f.logReset(p, string(reason))
	return m.N > 0
}

// remembers reports whether the SYN's flow is open as far as is known, so that the SYN is a copy of
// an earlier one.
func (p *placements) remembers(f frame.Frame) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.flows[f.Key]
	return e != nil && (!e.closed || e.sequence == f.Sequence)
}

// recordSent counts the bytes of the messages.
func (f *Forwarder) recordSent(sent []datagram.Message) {
	if f.shedder == nil {
		return
	}
	bytes := 0
	for i := range sent {
		bytes += sent[i].N + datagramHeaderBytes
	}
	f.shedder.sentBytes.Add(int64(bytes))
}

// observeBatch records the batch that was read at the time, and logs the start and the end of
// shedding.
func (f *Forwarder) observeBatch(readAt time.Time, full bool) {
	s := f.shedder
	now := s.now()
	sent := s.sentBytes.Load()
	was, is := s.observe(batch{
		readAt: readAt, processing: now.Sub(readAt), full: full, sentBytes: sent - s.observedBytes, lost: f.newlyLost(now),
	})
	s.observedBytes = sent
	switch {
	case was.reason == "" && is.reason != "":
		d := s.dump()
		_ = level.Warn(f.log).Log(
			"event", "shedding_started", "reason", string(is.reason), "backlog_millis", d.BacklogMillis, "sent_mbps", d.SentMbps,
			"link_mbps", d.LinkMbps,
		)
	case was.reason != "" && is.reason == "":
		_ = level.Info(f.log).Log(
			"event", "shedding_ended", "reason", string(was.reason), "after", now.Sub(was.at).Round(time.Millisecond),
			"refused", is.refused-was.refused, "dropped", is.dropped-was.dropped,
		)
	}
}

// newlyLost returns how many packets the socket's buffer has lost since the last call. It asks the
// socket once per interval, and counts the packets.
func (f *Forwarder) newlyLost(now time.Time) uint64 {
	s := f.shedder
	if f.socket.Lost == nil || now.Sub(s.lostReadAt) < interval {
		return 0
	}
	lost := f.socket.Lost()
	n := uint64(lost - s.lost)
	s.lost, s.lostReadAt = lost, now
	s.lostPackets.Inc(int64(n))
	return n
}

// begin records that a batch has been read, and returns why SYNs are given up, if any are.
func (s *shedder) begin(readAt time.Time, waited bool) ipv4.Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.overload.begin(readAt, waited)
	return s.overload.reason()
}

func (s *shedder) decide(readAt time.Time, syns int) decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.overload.decide(readAt, syns)
}

// recordGivenUp counts SYNs that were given up.
func (s *shedder) recordGivenUp(reason ipv4.Reason, refused, dropped int) {
	s.refused[reason].Inc(int64(refused))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedSYNs += int64(refused)
	s.droppedSYNs += int64(dropped)
}

// observe records a batch, and returns the start of shedding before and after it. The numbers of
// the latter are current if none are given up.
func (s *shedder) observe(b batch) (was, is sheddingStart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.overload.observe(b)
	was = s.started
	reason := s.overload.reason()
	if (was.reason == "") != (reason == "") {
		s.started = sheddingStart{
			at: b.readAt.Add(b.processing), reason: reason, refused: s.refusedSYNs, dropped: s.droppedSYNs,
		}
	}
	return was, s.started
}

// dump returns the current state. If no batch has come for a while, nothing is short.
func (s *shedder) dump() *OverloadDump {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	o := s.overload
	o.observeIdle(now)
	d := &OverloadDump{
		Reason: string(o.reason()), GivenUpForCPU: min(allGivenUp, o.cpu.value),
		GivenUpForBandwidth: min(allGivenUp, o.link.value), Dropped: max(0, o.level()-allGivenUp),
		LinkMbps: o.linkRate / bytesPerMegabit, SentMbps: math.Round(o.sentRate/bytesPerMegabit*10) / 10,
		RefusedSYNs: s.refusedSYNs, DroppedSYNs: s.droppedSYNs,
	}
	if d.Reason != "" {
		d.SinceMillis = now.Sub(s.started.at).Milliseconds()
	}
	if !o.backlogSince.IsZero() {
		d.BacklogMillis = now.Sub(o.backlogSince).Milliseconds()
	}
	return d
}
