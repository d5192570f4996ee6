package session

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"arbutusfront.dev/common/coordination/config"
)

// inForceTimeout bounds the query for the revision in force, because some of the balancers may
// not respond.
const inForceTimeout = time.Second

var errNoBalancers = errors.New("the settings list no balancers")

// latestRevision calls query for all balancers concurrently and returns the latest revision. If
// none responds with a revision within inForceTimeout, it returns the last error.
func latestRevision(
	ctx context.Context, balancers []netip.AddrPort,
	query func(context.Context, netip.AddrPort) (*config.Revision, error),
) (*config.Revision, error) {
	type result struct {
		revision *config.Revision
		err      error
	}
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	results := make(chan result, len(balancers))
	for _, address := range balancers {
		go func() {
			r, err := query(ctx, address)
			results <- result{r, err}
		}()
	}
	var latest *config.Revision
	lastErr := errNoBalancers
	for range balancers {
		r := <-results
		if r.err != nil {
			lastErr = r.err
			continue
		}
		if r.revision.Number() > latest.Number() {
			latest = r.revision
		}
	}
	if latest == nil {
		return nil, lastErr
	}
	return latest, nil
}

// pushAll calls push for all balancers concurrently and waits for all calls. It returns the
// number of calls that succeeded, or the last error if none did.
func pushAll(
	ctx context.Context, balancers []netip.AddrPort, push func(context.Context, netip.AddrPort) error,
) (int, error) {
	results := make(chan error, len(balancers))
	for _, address := range balancers {
		go func() { results <- push(ctx, address) }()
	}
	accepted := 0
	var lastErr error
	for range balancers {
		if err := <-results; err != nil {
			lastErr = err
			continue
		}
		accepted++
	}
	if accepted == 0 {
		return 0, lastErr
	}
	return accepted, nil
}
