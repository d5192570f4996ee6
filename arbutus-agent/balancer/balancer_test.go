package balancer

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"arbutusfront.dev/arbutus-agent/state"
	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/heartbeat"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/coordination/peer"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
)

// monitor returns the member record of the i-th balancer.
func monitor(i int) member.Member {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7002)
	return member.Member{
		Name: "balancer-" + string(rune('0'+i)), Role: member.Balancer, Domain: "north", Packet: a, Control: a,
		Instance: uint64(i), Version: 1, Phase: member.Serving,
	}
}

// TestPullSkipsUnconfiguredBalancer guards against a slow start of an agent whose first
// acknowledgment comes from a balancer without a configuration. The agent once pulled
// from that balancer in vain, and pulled from the next one only after a pause.
func TestPullSkipsUnconfiguredBalancer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		self := member.Member{
			Name: "desk-1", Role: member.Agent, Domain: "north", Service: "desk", Instance: 9, Version: 1,
			Phase: member.Joining,
		}
		node := state.NewNode(self)
		a := heartbeat.New(self, heartbeat.WithPace(func() heartbeat.Pace { return heartbeat.Pace{Lease: time.Second} }))
		var fetched []netip.AddrPort
		c := New(node, a, func(_ context.Context, at netip.AddrPort, _ string) (peer.View, error) {
			fetched = append(fetched, at)
			return peer.View{Revision: config.Order{Number: 5}, Config: config.View{Service: config.Service{Name: "desk"}}}, nil
		}, log.NewNopLogger())
		ctx, cancel := context.WithCancel(context.Background())
		done := c.Run(ctx)
		c.HandleAck(&controlv1.HeartbeatAck{Monitor: monitor(1).Encode()})
		synctest.Wait()
		c.HandleAck(&controlv1.HeartbeatAck{Monitor: monitor(2).Encode(), Revision: 5, ViewDigest: 77})
		synctest.Wait()
		g.Expect(fetched).To(Equal([]netip.AddrPort{monitor(2).Control}))
		g.Expect(node.View().Known).To(BeTrue())
		cancel()
		g.Expect(<-done).To(Succeed())
	})
}

// TestViewPulledBesideSilentBalancer guards against an agent that uses an outdated view for seconds, because
// the balancer that it asked first accepts the call and does not respond.
func TestViewPulledBesideSilentBalancer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		self := member.Member{
			Name: "desk-1", Role: member.Agent, Domain: "north", Service: "desk", Instance: 9, Version: 1,
			Phase: member.Joining,
		}
		node := state.NewNode(self)
		a := heartbeat.New(self, heartbeat.WithPace(func() heartbeat.Pace { return heartbeat.Pace{Lease: time.Second} }))
		c := New(node, a, func(ctx context.Context, at netip.AddrPort, _ string) (peer.View, error) {
			if at == monitor(1).Control {
				<-ctx.Done()
				return peer.View{}, ctx.Err()
			}
			return peer.View{Revision: config.Order{Number: 5}, Config: config.View{Service: config.Service{Name: "desk"}}}, nil
		}, log.NewNopLogger())
		ctx, cancel := context.WithCancel(context.Background())
		done := c.Run(ctx)
		for i := range 2 {
			c.HandleAck(&controlv1.HeartbeatAck{Monitor: monitor(1 + i).Encode(), Revision: 5, ViewDigest: 77})
			synctest.Wait()
		}
		time.Sleep(pullPatience)
		synctest.Wait()
		g.Expect(node.View().Known).To(BeTrue())
		cancel()
		g.Expect(<-done).To(Succeed())
	})
}
