package backend

import (
	"context"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/transport/datagram"
)

// TestFlowsReturnWrongAcknowledgment guards against a request that runs at two backend
// servers. Both receive the caller's SYN, and the caller accepts the SYN-ACK of one. The
// request must not run at the other, although the stack's forwarder accepts any
// acknowledgment number (found by the soak test, seed 3 in pass-through mode). The packet
// must go back to the agent, and the right acknowledgment must still open the flow.
func TestFlowsReturnWrongAcknowledgment(t *testing.T) {
	g := NewWithT(t)
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	agent, err := datagram.Listen(loopback)
	g.Expect(err).NotTo(HaveOccurred())
	socket, err := datagram.Listen(loopback)
	g.Expect(err).NotTo(HaveOccurred())
	flows, err := NewFlows(socket, agent.Local)
	g.Expect(err).NotTo(HaveOccurred())
	server := New("desk-1")
	ctx, cancel := context.WithCancel(context.Background())
	done := flows.Run(ctx, server)
	defer func() {
		cancel()
		g.Expect(<-done).To(Succeed())
		g.Expect(agent.Close()).To(Succeed())
	}()
	key := ipv4.FlowKey{
		Caller: netip.MustParseAddrPort("192.0.2.1:4000"), Service: netip.MustParseAddrPort("10.80.0.1:80"),
	}
	send := func(s ipv4.Segment) {
		s.Key, s.Window = key, 60000
		g.Expect(agent.Write(ipv4.Build(s), socket.Local)).To(Succeed())
	}
	read := func() []byte {
		batch := datagram.NewBatch(1)
		_, err := agent.ReadBatch(batch)
		g.Expect(err).NotTo(HaveOccurred())
		return batch[0].Bytes()
	}
	send(ipv4.Segment{Flags: ipv4.FlagSYN, Sequence: 1000})
	synACK, err := ipv4.Parse(read())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(synACK.Flags().Has(ipv4.FlagSYN | ipv4.FlagACK)).To(BeTrue())

	request := []byte("GET / HTTP/1.1\r\nHost: desk\r\nX-Request-Id: one\r\n\r\n")
	send(ipv4.Segment{
		Flags: ipv4.FlagACK, Sequence: 1001, Acknowledgment: synACK.Sequence() + 500, Payload: request,
	})
	g.Expect(ipv4.IsReturned(read())).To(BeTrue())
	send(ipv4.Segment{Flags: ipv4.FlagACK, Sequence: 1001, Acknowledgment: synACK.Sequence() + 1, Payload: request})
	g.Eventually(server.RequestCount).WithTimeout(5 * time.Second).Should(Equal(1))
}
