// Package peer is the client for calls to balancers at their control addresses.
//
// # Usage
//
//	c := peer.NewClient(httpClient)
//	r, err := c.Revision(ctx, controlAddress, known)
//
// Each method has one deadline for all its calls. Errors are of class Error, or of class
// config.Error if the content of a response is malformed.
package peer

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/protocol/control"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/protocol/gen/arbutus/control/v1/controlv1connect"
)

const (
	callTimeout = 3 * time.Second
	// attemptTimeout bounds the first attempt of a query. A second one is made on another
	// connection if the peer has sent nothing: a connection may be silent for good.
	attemptTimeout = 700 * time.Millisecond
)

// Error is the class of this package's errors.
var Error = errs.Class("peer")

// Client calls balancers. Dump can be called on any process.
type Client struct {
	http *http.Client
}

// NewClient returns a Client that makes its calls through h.
func NewClient(h *http.Client) *Client { return &Client{http: h} }

// Revision returns the revision that the balancer has in force. The head references and
// chunks that it shares with known, which may be nil, are not transferred.
func (c *Client) Revision(ctx context.Context, at netip.AddrPort, known *config.Revision) (*config.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rpc := c.peer(at)
	response, err := query(ctx, rpc.GetHead, known.HeadRequest())
	if err != nil {
		return nil, err
	}
	head, err := known.RestoreHead(response)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	values := [][]byte{}
	if missing := known.Missing(head); len(missing) > 0 {
		chunks, err := query(ctx, rpc.GetChunks, &controlv1.GetChunksRequest{Digests: missing})
		if err != nil {
			return nil, err
		}
		values = chunks.GetChunks()
	}
	if known != nil {
		values = append(values, known.Values()...)
	}
	return config.Assemble(head, values)
}

// Members returns the members of the balancer's table in the buckets whose digests differ
// from the given ones; see member.Snapshot.BucketDigests. Malformed records are dropped.
func (c *Client) Members(ctx context.Context, at netip.AddrPort, digests []uint64) ([]member.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := query(ctx, c.peer(at).SyncMembers, &controlv1.SyncMembersRequest{BucketDigests: digests})
	if err != nil {
		return nil, err
	}
	return decodeAll(response.GetMembers()), nil
}

// View returns the balancer's view of the named service.
func (c *Client) View(ctx context.Context, at netip.AddrPort, service string) (View, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := query(ctx, c.peer(at).GetView, &controlv1.GetViewRequest{Service: service})
	if err != nil {
		return View{}, err
	}
	return decodeView(response)
}

// Push sends an accepted revision to the balancer and returns the revision number that the
// balancer has in force afterwards. The head is sent with a message authentication code
// that is computed with the deployment's key.
func (c *Client) Push(ctx context.Context, at netip.AddrPort, key control.Key, r *config.Revision) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(r.Head)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	response, err := c.peer(at).PushHead(ctx, connect.NewRequest(&controlv1.PushHeadRequest{
		Head: r.Head, Chunks: r.Values(), Seal: key.MAC(b),
	}))
	if err != nil {
		return 0, Error.Wrap(err)
	}
	return response.Msg.GetRevision(), nil
}

// Ledger returns the encoded ledger of the balancer, of at most maxBytes.
func (c *Client) Ledger(ctx context.Context, at netip.AddrPort, maxBytes int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := query(ctx, c.peer(at).GetLedger, &controlv1.GetLedgerRequest{MaxBytes: uint32(maxBytes)})
	if err != nil {
		return nil, err
	}
	return response.GetLedger(), nil
}

// Status returns the state of all members. The balancer merges its own observations with
// those that it requests from the other balancers.
func (c *Client) Status(ctx context.Context, at netip.AddrPort) (*controlv1.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := c.peer(at).Status(ctx, connect.NewRequest(&controlv1.StatusRequest{}))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return response.Msg, nil
}

// Dump returns the state of the process at the control address as JSON.
func (c *Client) Dump(ctx context.Context, at netip.AddrPort) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rpc := controlv1connect.NewDumpServiceClient(c.http, url(at))
	response, err := rpc.Dump(ctx, connect.NewRequest(&controlv1.DumpRequest{}))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return response.Msg.GetJson(), nil
}

// query makes a call that changes nothing, and repeats it once if the peer doesn't respond within
// attemptTimeout.
func query[Q, R any](
	ctx context.Context, call func(context.Context, *connect.Request[Q]) (*connect.Response[R], error), request *Q,
) (*R, error) {
	attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	response, err := call(attempt, connect.NewRequest(request))
	if connect.CodeOf(err) == connect.CodeDeadlineExceeded && ctx.Err() == nil {
		response, err = call(ctx, connect.NewRequest(request))
	}
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return response.Msg, nil
}

func (c *Client) peer(at netip.AddrPort) controlv1connect.PeerServiceClient {
	return controlv1connect.NewPeerServiceClient(c.http, url(at))
}

func url(at netip.AddrPort) string { return "http://" + at.String() }

// decodeAll decodes members and drops those that are malformed.
func decodeAll(messages []*controlv1.Member) []member.Member {
	members := make([]member.Member, 0, len(messages))
	for _, m := range messages {
		if decoded, err := member.Decode(m); err == nil {
			members = append(members, decoded)
		}
	}
	return members
}
