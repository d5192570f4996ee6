package balancer

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/heartbeat"
	"arbutusfront.dev/common/coordination/member"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
)

// silentCallTime is how long a call to a peer takes that accepts it and never responds.
const silentCallTime = 3 * time.Second

// pullHarness is a balancer that pulls from peers, some of which never respond.
type pullHarness struct {
	peers  *Peers
	node   *state.Node
	silent map[netip.AddrPort]bool
	later  *config.Revision
	calls  atomic.Int64
	ended  atomic.Int64
}

func newPullHarness(silent ...member.Member) *pullHarness {
	self := memberOf("balancer-1", member.Balancer, 1)
	h := &pullHarness{
		node: state.NewNode(self), silent: make(map[netip.AddrPort]bool),
		later: &config.Revision{Head: config.NewHeadAt(config.Order{Version: 8, Number: 1}, nil, &controlv1.Accepted{})},
	}
	h.node.Config.Adopt(
		&config.Revision{Head: config.NewHeadAt(config.Order{Version: 7, Number: 1}, nil, &controlv1.Accepted{})})
	for _, m := range silent {
		h.node.Table.Merge(m)
		h.silent[m.Control] = true
	}
	h.peers = New(
		h.node, heartbeat.New(self), WithSend(func(netip.AddrPort, *controlv1.Datagram) {}),
		WithFetch(Fetch{
			Revision: func(ctx context.Context, at netip.AddrPort, _ *config.Revision) (*config.Revision, error) {
				return h.later, h.call(ctx, at)
			},
			Members: func(ctx context.Context, at netip.AddrPort, _ []uint64) ([]member.Member, error) {
				return nil, h.call(ctx, at)
			},
		}))
	return h
}

// call is a call to the peer at the address.
func (h *pullHarness) call(ctx context.Context, at netip.AddrPort) error {
	h.calls.Add(1)
	defer h.ended.Add(1)
	if !h.silent[at] {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(silentCallTime):
		return errors.New("no response")
	}
}

// run runs the pulls until the end of the test.
func (h *pullHarness) run(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- h.peers.runPulls(ctx) }()
	t.Cleanup(func() {
		cancel()
		NewWithT(t).Expect(<-done).To(Succeed())
	})
}

// announce passes a peer's gossip message with a later revision to the balancer.
func (h *pullHarness) announce(from member.Member) {
	order := h.later.Order()
	h.peers.Handle(from.Packet, &controlv1.Datagram{Body: &controlv1.Datagram_Gossip{Gossip: &controlv1.Gossip{
		Sender: from.Encode(), Revision: order.Number, ConfigVersion: order.Version,
		TableDigest: h.node.Table.Snapshot().Digest,
	}}})
}

// TestRevisionPulledBesideLostPeers guards against a revision that a balancer adopts seconds after it has
// heard of it, because calls to lost peers, made right after its start, don't return (review/12).
func TestRevisionPulledBesideLostPeers(t *testing.T) {
	for lost := range 6 {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			var silent []member.Member
			for i := range lost {
				silent = append(silent, memberOf("lost-"+string(rune('a'+i)), member.Balancer, 10+i))
			}
			h := newPullHarness(silent...)
			h.run(t)
			for range 3 {
				for _, m := range silent {
					h.peers.queuePull(pull{from: m, members: true})
				}
				time.Sleep(catchUpInterval)
			}
			h.announce(memberOf("balancer-2", member.Balancer, 2))
			time.Sleep(10 * time.Millisecond)
			g.Expect(h.node.Config.Current().Order()).To(Equal(h.later.Order()), "beside %d lost peers", lost)
		})
	}
}

// TestRevisionPulledFromAnotherPeer guards against a revision that waits for the one peer which has
// announced it, and then does not respond.
func TestRevisionPulledFromAnotherPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		lost := memberOf("lost-a", member.Balancer, 10)
		h := newPullHarness(lost)
		h.run(t)
		h.announce(lost)
		time.Sleep(10 * time.Millisecond)
		h.announce(memberOf("balancer-2", member.Balancer, 2))
		time.Sleep(revisionPatience + 10*time.Millisecond)
		g.Expect(h.node.Config.Current().Order()).To(Equal(h.later.Order()))
	})
}

// TestPullsFromDeadPeers guards against calls to peers that count as dead: queued ones are left out, and
// running ones end at once.
func TestPullsFromDeadPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		lost := memberOf("lost-a", member.Balancer, 10)
		h := newPullHarness(lost)
		h.run(t)
		for range 5 {
			h.peers.queuePull(pull{from: lost, members: true})
		}
		time.Sleep(memberPatience + 10*time.Millisecond)
		g.Expect(h.calls.Load()).To(Equal(int64(1)), "one call to a peer at a time")
		g.Expect(h.ended.Load()).To(BeZero())
		h.peers.Learn(lost.WithDeath())
		synctest.Wait()
		g.Expect(h.ended.Load()).To(Equal(int64(1)))
		h.peers.queuePull(pull{from: lost, members: true})
		time.Sleep(silentCallTime)
		g.Expect(h.calls.Load()).To(Equal(int64(1)))
	})
}
