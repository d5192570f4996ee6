package operator

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/member"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/protocol/gen/arbutus/control/v1/controlv1connect"
)

const (
	// statusTimeout bounds the query to one balancer.
	statusTimeout = time.Second
	// statusConcurrency bounds the queries in flight.
	statusConcurrency = 64
	// demandSlack is how much older than the most recent heartbeat the demand of a member may be.
	// A heartbeat is sent about every 400 ms.
	demandSlack = time.Second
)

// fullStatus queries all other balancers and merges their status with this one's. Of
// several statuses of an incarnation of a member, that of the latest version is
// retained and, among these, that with the most recent heartbeat. Balancers that do not
// respond are listed as unreachable.
func (s *Server) fullStatus(ctx context.Context) *controlv1.StatusResponse {
	merged := s.localStatus(time.Now())
	self := s.self()
	balancers := s.node.Table.Snapshot().Select(func(m member.Member) bool {
		return m.Role == member.Balancer && m.Phase.Alive() && m.Name != self.Name
	})
	var mu sync.Mutex
	var wg sync.WaitGroup
	sem := make(chan struct{}, statusConcurrency)
	for _, b := range balancers {
		wg.Go(func() {
			sem <- struct{}{}
			defer func() { <-sem }()
			status, err := s.queryStatus(ctx, b)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				merged.Unreachable = append(merged.Unreachable, b.Name)
				return
			}
			mergeStatus(merged, status)
		})
	}
	wg.Wait()
	slices.Sort(merged.Unreachable)
	merged.Members = latestStatuses(merged.GetMembers())
	return merged
}

func (s *Server) queryStatus(ctx context.Context, b member.Member) (*controlv1.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	client := controlv1connect.NewPeerServiceClient(s.client, "http://"+b.Control.String())
	out, err := client.Status(ctx, connect.NewRequest(&controlv1.StatusRequest{Local: true}))
	if err != nil {
		return nil, err
	}
	return out.Msg, nil
}

func mergeStatus(into, from *controlv1.StatusResponse) {
	if config.OrderOf(into.GetHead()).Before(config.OrderOf(from.GetHead())) {
		into.Head = from.GetHead()
	}
	into.Members = append(into.Members, from.GetMembers()...)
}

// latestStatuses retains one status for each incarnation of a member: that of the latest
// version and, among these, that with the most recent heartbeat. If that lists no demand, it gets
// the demand of a heartbeat that is at most demandSlack older: balancers of earlier versions don't
// report the demand. The result is ordered by name and instance.
func latestStatuses(all []*controlv1.MemberStatus) []*controlv1.MemberStatus {
	slices.SortFunc(all, func(a, b *controlv1.MemberStatus) int {
		return cmp.Or(
			cmp.Compare(a.GetMember().GetName(), b.GetMember().GetName()),
			cmp.Compare(a.GetMember().GetInstance(), b.GetMember().GetInstance()),
			cmp.Compare(b.GetMember().GetVersion(), a.GetMember().GetVersion()),
			cmp.Compare(a.GetSilentMillis(), b.GetSilentMillis()),
			cmp.Compare(len(b.GetDemand()), len(a.GetDemand())),
		)
	})
	var retained []*controlv1.MemberStatus
	for _, m := range all {
		if n := len(retained); n > 0 && isSameIncarnation(retained[n-1].GetMember(), m.GetMember()) {
			addMissingDemand(retained[n-1], m)
			continue
		}
		retained = append(retained, m)
	}
	return retained
}

func isSameIncarnation(a, b *controlv1.Member) bool {
	return a.GetName() == b.GetName() && a.GetInstance() == b.GetInstance()
}

// addMissingDemand gives the status the demand of another one of the same member, if it lists none
// itself and the other one is at most demandSlack older.
func addMissingDemand(to, from *controlv1.MemberStatus) {
	if len(to.GetDemand()) == 0 && from.GetSilentMillis()-to.GetSilentMillis() <= demandSlack.Milliseconds() {
		to.Demand = from.GetDemand()
	}
}
