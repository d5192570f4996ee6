package session

import (
	"context"
	"net/netip"
	"time"

	"arbutusfront.dev/common/coordination/learned"
	"arbutusfront.dev/common/coordination/peer"
)

// costsTimeout bounds the query for learned costs, which takes one call for each service.
const costsTimeout = 5 * time.Second

// costsOf returns the learned costs of the services' requests, by service. It queries the balancers in
// order until one responds, and continues with that one. If none is left, or after costsTimeout,
// it returns the last error.
func costsOf(
	ctx context.Context, balancers []netip.AddrPort, services []string,
	query func(ctx context.Context, at netip.AddrPort, service string) (peer.View, error),
) (map[string][]learned.Cost, error) {
	ctx, cancel := context.WithTimeout(ctx, costsTimeout)
	defer cancel()
	costs := make(map[string][]learned.Cost, len(services))
	err := errNoBalancers
	for _, service := range services {
		for ; len(balancers) > 0; balancers = balancers[1:] {
			var v peer.View
			if v, err = query(ctx, balancers[0], service); err == nil {
				costs[service] = v.Costs
				break
			}
		}
		if len(balancers) == 0 {
			return nil, err
		}
	}
	return costs, nil
}
