// Package balancer implements the protocol between balancers, and between a balancer and
// the members that it monitors: gossip, failure detection and anti-entropy.
//
// # Usage
//
//	p := balancer.New(node, announcer, balancer.WithSend(send), ...)
//	done := p.Run(ctx)
//	p.Handle(from, message)
//
// Each member sends heartbeats to a few balancers, its monitors, which are chosen by
// rendezvous hashing. Only changes are spread from there: each is sent to a few random
// peers in a bounded number of rounds. Changes that gossip misses are found by comparing
// digests of the tables.
package balancer

import (
	"context"
	"errors"
	"maps"
	"math"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/heartbeat"
	"arbutusfront.dev/common/coordination/member"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/transport/lane"
	"arbutusfront.dev/common/transport/wait"
)

const (
	// gossipInterval is the interval between gossip rounds.
	gossipInterval = 200 * time.Millisecond
	// digestInterval is the minimum interval between messages with the digest of the
	// table alone, which are sent while there are no changes.
	digestInterval = time.Second
	// expireInterval is the interval between removals of expired members.
	expireInterval = 10 * time.Second
	// fanout is the number of random balancers that a change is sent to in each round.
	fanout = 3
	// extraRounds is the number of rounds in which a change is sent, in addition to the
	// bit length of the number of other balancers in the failure domain.
	extraRounds = 2
	// farDigestEvery is how many digests are sent for each one that goes to another failure
	// domain.
	farDigestEvery = 4
	// changesPerSend bounds the changes in one message.
	changesPerSend = 8
	// sendsPerRound bounds the messages of a round when there are many changes at once,
	// such as after the loss of a failure domain.
	sendsPerRound = 4
	// maxRumors bounds the changes that are spread by gossip at a time.
	maxRumors = 256
	// catchUpInterval is the interval between comparisons of tables after the start.
	catchUpInterval = 80 * time.Millisecond
)

type (
	// Peers maintains a balancer's table of members and its revision of the configuration
	// by exchanging messages with other members.
	Peers struct {
		node      *state.Node
		announcer *heartbeat.Announcer
		send      func(to netip.AddrPort, m *controlv1.Datagram)
		fetch     Fetch
		log       log.Logger
		now       func() time.Time
		// pulls are sorted into the lanes, in which they run.
		pulls        chan pull
		revisionLane *lane.Lane[pullKey]
		memberLane   *lane.Lane[pullKey]
		// gossipNow triggers a gossip round.
		gossipNow chan struct{}

		// catchUpTime is how long after the start tables are compared, and differing
		// members merged, every catchUpInterval.
		catchUpTime time.Duration
		// synced is set once the differing part of another balancer's table has been
		// merged.
		synced atomic.Bool
		// fetchedRevision is the order of the last revision that was fetched from another
		// balancer; zero if there is none.
		fetchedRevision atomic.Pointer[config.Order]

		mu sync.Mutex
		// rumors are the changes that are being sent.
		rumors     map[member.ID]rumor
		suspicions map[member.ID]*suspicion
		// disputedVersions holds the members that other balancers have declared dead
		// although this balancer still receives their heartbeats, with the version that
		// was declared dead.
		disputedVersions map[member.ID]uint64
		// backAt is when a balancer that had counted as dead was last found to be back, by
		// failure domain.
		backAt map[string]time.Time
		// followUps are the pulls that are due later.
		followUps []followUp
		// viewDigests are cached by service.
		viewDigests      map[string]cachedDigest
		partitionedCache regionCache
	}

	// rumor is the state of a change that is being sent: the rounds in which it was sent, and
	// whether this balancer learned of it first-hand.
	rumor struct {
		rounds    int
		firstHand bool
	}

	// Fetch holds the functions that fetch a revision, and the members that differ, from
	// another balancer at its control address.
	Fetch struct {
		Revision func(ctx context.Context, control netip.AddrPort, known *config.Revision) (*config.Revision, error)
		Members  func(ctx context.Context, control netip.AddrPort, digests []uint64) ([]member.Member, error)
	}

	// Option changes how Peers are built.
	Option func(*Peers)

	// regionCache holds the regions whose members have all been declared dead, for one
	// state of the table and the configuration.
	regionCache struct {
		revision   config.Order
		generation uint64
		regions    []string
	}

	// cachedDigest holds the digest of one service's view, for one state of the table and
	// the configuration.
	cachedDigest struct {
		revision   config.Order
		generation uint64
		digest     uint64
	}
)

// WithSend sets how datagrams are sent. The function must not block.
func WithSend(send func(to netip.AddrPort, m *controlv1.Datagram)) Option {
	return func(p *Peers) { p.send = send }
}

// WithFetch sets how revisions and members are fetched from other balancers.
func WithFetch(f Fetch) Option { return func(p *Peers) { p.fetch = f } }

// WithLogger sets the logger. The default discards events.
func WithLogger(l log.Logger) Option { return func(p *Peers) { p.log = l } }

// WithCatchUp makes the balancer compare its table with those of others, and merge what
// differs, at short intervals for the given time after its start, because gossip alone
// takes several rounds.
func WithCatchUp(d time.Duration) Option { return func(p *Peers) { p.catchUpTime = d } }

// New returns the Peers of the balancer whose state is node.
func New(node *state.Node, announcer *heartbeat.Announcer, opts ...Option) *Peers {
	p := &Peers{
		node:             node,
		announcer:        announcer,
		log:              log.NewNopLogger(),
		now:              time.Now,
		pulls:            make(chan pull, pullQueue),
		gossipNow:        make(chan struct{}, 1),
		rumors:           make(map[member.ID]rumor),
		disputedVersions: make(map[member.ID]uint64),
		backAt:           make(map[string]time.Time),
		suspicions:       make(map[member.ID]*suspicion),
		viewDigests:      make(map[string]cachedDigest),
	}
	p.fetchedRevision.Store(new(config.Order))
	p.revisionLane = p.newLane(revisionPatience, lane.WithOnSlow(p.pullElsewhere))
	p.memberLane = p.newLane(memberPatience)
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Run gossips, detects failures and pulls missed changes until ctx is canceled. The
// channel receives the result.
func (p *Peers) Run(ctx context.Context) <-chan error {
	loops := []func(context.Context) error{p.gossip, p.detect, p.runPulls, p.expireMembers, p.catchUp}
	ended := make(chan error, len(loops))
	for _, loop := range loops {
		go func() { ended <- loop(ctx) }()
	}
	done := make(chan error, 1)
	go func() {
		var errs []error
		for range loops {
			errs = append(errs, <-ended)
		}
		done <- errors.Join(errs...)
	}()
	return done
}

// Handle processes a control message.
func (p *Peers) Handle(from netip.AddrPort, m *controlv1.Datagram) {
	switch body := m.GetBody().(type) {
	case *controlv1.Datagram_Heartbeat:
		p.handleHeartbeat(from, body.Heartbeat)
	case *controlv1.Datagram_HeartbeatAck:
		p.handleAck(body.HeartbeatAck)
	case *controlv1.Datagram_Gossip:
		p.handleGossip(body.Gossip)
	case *controlv1.Datagram_Inquiry:
		p.handleInquiry(from, body.Inquiry)
	case *controlv1.Datagram_InquiryAnswer:
		p.handleInquiryAnswer(body.InquiryAnswer)
	case *controlv1.Datagram_Notice:
		p.handleNotice(body.Notice)
	}
}

// GossipNow triggers a gossip round immediately.
func (p *Peers) GossipNow() {
	select {
	case p.gossipNow <- struct{}{}:
	default:
	}
}

// Synced reports whether the differing part of another balancer's table has been fetched
// and merged since the start.
func (p *Peers) Synced() bool { return p.synced.Load() }

// handleHeartbeat records a member's heartbeat and acknowledges it. If the heartbeat lacks
// the complete record of a member that is unknown here, or known in an earlier version,
// the acknowledgment only requests that record.
func (p *Peers) handleHeartbeat(from netip.AddrPort, h *controlv1.Heartbeat) {
	m, err := member.Decode(h.GetMember())
	if err != nil {
		return
	}
	now := p.now()
	p.node.RecordContact(m.Domain, now)
	known, ok := p.node.Table.Get(m.ID())
	if !m.IsComplete() && (!ok || known.Version < m.Version) {
		p.sendAck(from, &controlv1.HeartbeatAck{
			Sequence:   h.GetSequence(),
			Monitor:    p.announcer.Self().WithoutAddresses().Encode(),
			NeedRecord: true,
		})
		return
	}
	if m.IsComplete() && p.learnSender(m, true) {
		p.GossipNow()
	}
	p.node.RecordHeartbeat(m.ID(), state.Heartbeat{
		At: now, Revision: config.OrderOf(h), Flows: h.GetFlows(), Demand: h.GetDemand(),
	})
	known, _ = p.node.Table.Get(m.ID())
	p.learnCosts(known, h)
	if p.learnRevision(config.OrderOf(h)) && m.Role == member.Balancer {
		p.queuePull(pull{from: known, revision: true})
	}
	p.sendAck(from, p.buildAck(known, h))
}

func (p *Peers) sendAck(to netip.AddrPort, ack *controlv1.HeartbeatAck) {
	p.send(to, &controlv1.Datagram{Body: &controlv1.Datagram_HeartbeatAck{HeartbeatAck: ack}})
}

// buildAck returns the acknowledgment of a heartbeat. It contains the revision in
// force, the member's monitors if they have changed, and whether the member has been
// declared dead. An agent also gets the digest of its service's view, and the reason
// why its claim is refused, if it is.
func (p *Peers) buildAck(known member.Member, h *controlv1.Heartbeat) *controlv1.HeartbeatAck {
	snapshot := p.node.Table.Snapshot()
	revision := p.node.Config.Current().Order()
	ack := &controlv1.HeartbeatAck{
		Sequence:      h.GetSequence(),
		Monitor:       p.announcer.Self().WithoutAddresses().Encode(),
		Revision:      revision.Number,
		ConfigVersion: revision.Version,
		KnownVersion:  known.Version,

		RevisionAgeMillis: p.revisionAge(),
		DeclaredDead:      known.Phase == member.Dead,
	}
	if version, disputed := p.isDisputed(known); disputed {
		ack.DeclaredDead, ack.KnownVersion = true, version
	}
	monitors := snapshot.Monitors(known)
	if digestOf(monitors) != h.GetMonitorsDigest() {
		ack.Monitor = p.announcer.Self().Encode()
		for _, b := range monitors {
			ack.Monitors = append(ack.Monitors, &controlv1.Monitor{
				Name:           b.Name,
				PacketAddress:  b.Packet.String(),
				ControlAddress: b.Control.String(),
			})
		}
	}
	if known.Role == member.Agent {
		ack.ViewDigest = p.viewDigest(known.Service)
		if refusal, refused := snapshot.Refused(known); refused {
			ack.RefusedBy = refusal.Reason + " by " + refusal.Claimant.Name + " at " + refusal.Claimant.Packet.String()
		}
	}
	return ack
}

func digestOf(monitors []member.Member) uint64 {
	addresses := make([]netip.AddrPort, 0, len(monitors))
	for _, m := range monitors {
		addresses = append(addresses, m.Packet)
	}
	return heartbeat.MonitorsDigest(addresses)
}

func (p *Peers) handleAck(ack *controlv1.HeartbeatAck) {
	monitor, err := member.Decode(ack.GetMonitor())
	if err != nil {
		return
	}
	p.node.RecordContact(monitor.Domain, p.now())
	if monitor.IsComplete() {
		p.learnSender(monitor, false)
	}
	p.announcer.HandleAck(ack)
	p.confirmRevision(config.OrderOf(ack), ack.GetRevisionAgeMillis())
	known, ok := p.node.Table.Get(monitor.ID())
	if !ok {
		return
	}
	p.queuePull(pull{from: known, members: !p.Synced()})
	p.queuePull(pull{from: known, revision: p.learnRevision(config.OrderOf(ack))})
}

// revisionAge returns the time since the store confirmed the revision in force as it is
// sent to peers: in milliseconds, plus one; 0 if it is unknown.
func (p *Peers) revisionAge() uint32 {
	age, known := p.node.Config.Age(p.now())
	if !known || age > math.MaxInt32*time.Millisecond {
		return 0
	}
	return uint32(max(age, 0).Milliseconds()) + 1
}

// confirmRevision records when the store confirmed the revision, as reported by another
// balancer. The age is encoded as by revisionAge; the added millisecond is not
// subtracted, so the confirmation is recorded as 1 ms older.
func (p *Peers) confirmRevision(revision config.Order, encodedAge uint32) {
	if encodedAge > 0 {
		p.node.Config.Confirm(revision, p.now().Add(-time.Duration(encodedAge)*time.Millisecond))
	}
}

// learnRevision records that a revision exists elsewhere, and reports whether it comes after the one in
// force.
func (p *Peers) learnRevision(revision config.Order) bool {
	return p.node.Config.Announce(revision, p.now())
}

// handleNotice handles a member's notice of its own state and of the revision that it has
// in force. If that revision is newer, a pull from a random balancer is queued. If it also
// takes the member's failure domain out, the failure domain is blocked until this balancer
// has the revision too.
func (p *Peers) handleNotice(n *controlv1.Notice) {
	m, err := member.Decode(n.GetMember())
	if err != nil {
		return
	}
	p.node.RecordContact(m.Domain, p.now())
	p.Learn(m)
	revision := config.OrderOf(n)
	if !p.learnRevision(revision) {
		return
	}
	if n.GetDomainOut() {
		p.node.BlockDomain(m.Domain, revision)
	}
	for _, b := range p.digestPeer() {
		p.queuePull(pull{from: b, revision: true})
	}
}

// expireMembers removes expired members, and the record of disputed deaths of members
// that are no longer known as alive, until ctx is canceled.
func (p *Peers) expireMembers(ctx context.Context) error {
	for wait.For(ctx, expireInterval) {
		p.node.Expire()
		p.mu.Lock()
		maps.DeleteFunc(p.disputedVersions, func(id member.ID, _ uint64) bool {
			m, known := p.node.Table.Get(id)
			return !known || !m.Phase.Alive()
		})
		p.mu.Unlock()
	}
	return nil
}
