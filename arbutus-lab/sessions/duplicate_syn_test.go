package sessions

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/arbutus-lab/caller"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/transport/datagram"
)

// synDuplicator forwards each SYN to two agents, as balancers with different views do with
// the first SYN and a retransmitted SYN.
type synDuplicator struct {
	w      *deployment
	socket *datagram.Socket
	agents [2]string
}

func (w *deployment) newSYNDuplicator(first, second string) *synDuplicator {
	host := netip.MustParseAddr("10.1.0.9")
	s, err := w.network.Host(host).ListenPacket(netip.AddrPortFrom(host, portPacket))
	w.must(err)
	return &synDuplicator{w: w, socket: s, agents: [2]string{first, second}}
}

// send sends a SYN to both agents, and any other packet of a caller to the fabric.
func (t *synDuplicator) send(b []byte) {
	p, err := ipv4.Parse(b)
	if err != nil || !p.IsSYN() {
		t.w.caller.send(b)
		return
	}
	for _, name := range t.agents {
		h := capsule.Header{
			Revision: 1, Sender: 1, Target: t.w.instance(name), Service: capsule.KeyOf("contract-desk"),
		}
		_ = t.socket.Write(capsule.AppendPacket(nil, h, b), t.w.address(name, portPacket))
	}
}

// client returns an HTTP client that opens a new flow for each request, whose SYN goes to
// both agents.
func (t *synDuplicator) client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(_ context.Context, _, to string) (net.Conn, error) {
			service, err := netip.ParseAddrPort(to)
			if err != nil {
				return nil, err
			}
			return t.w.caller.dialThrough(service, t.send)
		},
	}}
}

// TestSynPlacedOnTwoAgents guards against flows that break, and requests that run twice,
// when two agents get the SYN of a flow and both send a SYN-ACK. The caller accepts one of
// them; the other agent must neither end the flow nor run the request.
func TestSynPlacedOnTwoAgents(t *testing.T) {
	runSession(t, 40, func(w *deployment) {
		w.startPhellos()
		_, last := w.sendRequests(w.service("contract-desk"))
		w.must(last)
		client := w.newSYNDuplicator("contract-desk-2", "contract-desk-6").client()
		results := make(chan error, requestCount)
		for i := range requestCount {
			go func() {
				time.Sleep(time.Duration(i) * 30 * time.Millisecond)
				results <- caller.Do(context.Background(), client, caller.Request{
					Service: w.service("contract-desk"), Body: fmt.Appendf(nil, "tally %d", i), AnswerBytes: 3000,
				})
			}()
		}
		for range requestCount {
			w.must(<-results)
		}
		for id, n := range w.runsByRequest() {
			w.g.Expect(n).To(Equal(1), id)
		}
	})
}

// TestPortReusedAfterDeath guards against resets of new flows. Callers of a dead agent reconnect
// from the same ports while other members still send resets for the flows of that agent, which
// have the same keys as the new ones.
func TestPortReusedAfterDeath(t *testing.T) {
	runSession(t, 41, func(w *deployment) {
		w.streamPeriod = time.Hour
		w.startPhellos()
		desk := w.service("contract-desk")
		streams := make(map[uint16]*stream)
		for port := uint16(30000); port < 30200; port++ {
			s, err := w.openStreamFrom(port, desk)
			w.must(err)
			streams[port] = s
			time.Sleep(30 * time.Millisecond)
		}
		w.kill("contract-desk-3")
		results := make(chan error, len(streams))
		for port, s := range streams {
			if s.server != "contract-desk-3" {
				results <- nil
				continue
			}
			go func() {
				time.Sleep(time.Duration(port%30) * detectionBound / 30)
				again, err := w.openStreamFrom(port, desk)
				if err == nil {
					time.Sleep(5 * time.Second)
					err = again.endError()
				}
				results <- err
			}()
		}
		failures := 0
		for range streams {
			if err := <-results; err != nil {
				failures++
			}
		}
		w.g.Expect(failures).To(Equal(0))
	})
}
