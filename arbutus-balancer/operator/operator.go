// Package operator serves the control API of a balancer, which operators, agents and
// other balancers call.
//
// # Usage
//
//	mux.Handle(operator.New(node, peers, key, client, self).Handler())
package operator

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"arbutusfront.dev/arbutus-balancer/balancer"
	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/protocol/control"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/protocol/gen/arbutus/control/v1/controlv1connect"
	"arbutusfront.dev/common/state/demand"
)

var (
	errNoRevision = errors.New("no configuration is in force yet")
	errNoService  = errors.New("the configuration in force has no such service")
)

// Server implements the PeerService of the control API.
type Server struct {
	node   *state.Node
	peers  *balancer.Peers
	key    control.Key
	client *http.Client
	self   func() member.Member
	// ledger returns the balancer's encoded ledger, of at most maxBytes.
	ledger func(maxBytes int) ([]byte, error)
	// demand returns the numbers of requests that the balancer has refused.
	demand func(now time.Time) []demand.Figures
}

// Option configures a Server.
type Option func(*Server)

// WithDemand sets the function that returns the numbers of requests that the balancer has refused.
func WithDemand(f func(now time.Time) []demand.Figures) Option {
	return func(s *Server) { s.demand = f }
}

// New returns the control API of the balancer self. It calls other balancers with the
// client. The function ledger returns the balancer's encoded ledger.
func New(
	node *state.Node, peers *balancer.Peers, key control.Key, client *http.Client, self func() member.Member,
	ledger func(maxBytes int) ([]byte, error), opts ...Option,
) *Server {
	s := &Server{
		node: node, peers: peers, key: key, client: client, self: self, ledger: ledger,
		demand: func(time.Time) []demand.Figures { return nil },
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Handler returns the path to register the service under, and its handler.
func (s *Server) Handler() (string, http.Handler) {
	return controlv1connect.NewPeerServiceHandler(s)
}

// GetHead implements controlv1connect.PeerServiceHandler.
func (s *Server) GetHead(
	_ context.Context, request *connect.Request[controlv1.GetHeadRequest],
) (*connect.Response[controlv1.GetHeadResponse], error) {
	r := s.node.Config.Current()
	if r == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errNoRevision)
	}
	return connect.NewResponse(r.HeadResponse(request.Msg)), nil
}

// GetChunks implements controlv1connect.PeerServiceHandler. It leaves out chunks that are
// not part of the revision in force.
func (s *Server) GetChunks(
	_ context.Context, r *connect.Request[controlv1.GetChunksRequest],
) (*connect.Response[controlv1.GetChunksResponse], error) {
	current := s.node.Config.Current()
	out := new(controlv1.GetChunksResponse)
	for _, digest := range r.Msg.GetDigests() {
		if c, ok := current.Chunk(digest); ok {
			out.Chunks = append(out.Chunks, c.Value)
		}
	}
	return connect.NewResponse(out), nil
}

// PushHead implements controlv1connect.PeerServiceHandler. The seal proves that the
// sender belongs to the deployment. The response contains the revision that is in force
// afterwards.
func (s *Server) PushHead(
	_ context.Context, r *connect.Request[controlv1.PushHeadRequest],
) (*connect.Response[controlv1.PushHeadResponse], error) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(r.Msg.GetHead())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if err := s.key.Verify(b, r.Msg.GetSeal()); err != nil {
		return nil, connect.NewError(connect.CodePermissionDenied, err)
	}
	revision, err := config.Assemble(r.Msg.GetHead(), r.Msg.GetChunks())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	s.node.Config.Adopt(revision)
	return connect.NewResponse(&controlv1.PushHeadResponse{Revision: s.node.Config.Current().Number()}), nil
}

// SyncMembers implements controlv1connect.PeerServiceHandler. It returns the members in the
// part of the table that differs from the caller's digests.
func (s *Server) SyncMembers(
	_ context.Context, r *connect.Request[controlv1.SyncMembersRequest],
) (*connect.Response[controlv1.SyncMembersResponse], error) {
	members := s.node.Table.Snapshot().Differing(r.Msg.GetBucketDigests())
	return connect.NewResponse(&controlv1.SyncMembersResponse{Members: member.EncodeAll(members)}), nil
}

// GetView implements controlv1connect.PeerServiceHandler.
func (s *Server) GetView(
	_ context.Context, r *connect.Request[controlv1.GetViewRequest],
) (*connect.Response[controlv1.GetViewResponse], error) {
	v, ok := s.peers.ServiceView(r.Msg.GetService())
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, errNoService)
	}
	m, err := v.Encode()
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(m), nil
}

// GetLedger implements controlv1connect.PeerServiceHandler.
func (s *Server) GetLedger(
	_ context.Context, r *connect.Request[controlv1.GetLedgerRequest],
) (*connect.Response[controlv1.GetLedgerResponse], error) {
	b, err := s.ledger(int(r.Msg.GetMaxBytes()))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&controlv1.GetLedgerResponse{Ledger: b}), nil
}

// Status implements controlv1connect.PeerServiceHandler. A local status lists this balancer
// and the members that it has received heartbeats from. A full one is merged with those of
// the other balancers.
func (s *Server) Status(
	ctx context.Context, r *connect.Request[controlv1.StatusRequest],
) (*connect.Response[controlv1.StatusResponse], error) {
	if r.Msg.GetLocal() {
		return connect.NewResponse(s.localStatus(time.Now())), nil
	}
	return connect.NewResponse(s.fullStatus(ctx)), nil
}

func (s *Server) localStatus(now time.Time) *controlv1.StatusResponse {
	out := new(controlv1.StatusResponse)
	revision := s.node.Config.Current()
	if revision != nil {
		out.Head = revision.Head
	}
	self, demands := s.self(), s.node.NewDemands(now)
	out.Members = append(out.Members, &controlv1.MemberStatus{
		Member: self.Encode(), Revision: revision.Number(), Demand: demands.Encode(s.demand(now)),
	})
	for _, m := range s.node.Table.Snapshot().Members {
		h, ok := s.node.LastHeartbeat(m.ID())
		if !ok || m.ID() == self.ID() {
			continue
		}
		out.Members = append(out.Members, &controlv1.MemberStatus{
			Member:       m.Encode(),
			Revision:     h.Revision.Number,
			Flows:        h.Flows,
			SilentMillis: now.Sub(h.At).Milliseconds(),
			Demand:       demands.OfAgent(m.Service, h),
		})
	}
	return out
}
