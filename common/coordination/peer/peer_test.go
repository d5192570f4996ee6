package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	"arbutusfront.dev/common/coordination/config"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/protocol/gen/arbutus/control/v1/controlv1connect"
	"arbutusfront.dev/common/transport/network"
)

// stubBalancer does not respond to its first hanging calls of GetView.
type stubBalancer struct {
	controlv1connect.UnimplementedPeerServiceHandler

	hanging int32
	calls   atomic.Int32
}

func (b *stubBalancer) GetView(
	ctx context.Context, _ *connect.Request[controlv1.GetViewRequest],
) (*connect.Response[controlv1.GetViewResponse], error) {
	if b.calls.Add(1) <= b.hanging {
		<-ctx.Done()
		return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
	m, err := View{Revision: config.Order{Number: 5}}.Encode()
	return connect.NewResponse(m), err
}

// TestQueryIsRepeated guards against an agent that keeps an old view because its call hangs on a
// connection that has become silent: a second attempt must succeed well before a failure domain
// that was taken out must get no more flows.
func TestQueryIsRepeated(t *testing.T) {
	g := NewWithT(t)
	b := &stubBalancer{hanging: 1}
	mux := http.NewServeMux()
	mux.Handle(controlv1connect.NewPeerServiceHandler(b))
	s := httptest.NewUnstartedServer(mux)
	s.Config.Protocols = new(http.Protocols)
	s.Config.Protocols.SetUnencryptedHTTP2(true)
	s.Start()
	defer s.Close()
	c := NewClient(network.System().HTTP2Client())
	started := time.Now()
	v, err := c.View(t.Context(), netip.MustParseAddrPort(s.Listener.Addr().String()), "desk")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(v.Revision.Number).To(Equal(uint64(5)))
	g.Expect(time.Since(started)).To(BeNumerically("<", 2*time.Second))
	g.Expect(b.calls.Load()).To(Equal(int32(2)))
}
