package store

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/coordination/store"
	"arbutusfront.dev/common/transport/wait"
)

const (
	// registrationTTL is how long a balancer remains registered without renewing its
	// lease. The lease is renewed registrationRenewals times within that.
	registrationTTL      = 15 * time.Second
	registrationRenewals = 3
	// registeredPerDomain is how many balancers of each failure domain register: a
	// process that knows no balancer needs to find only one of them.
	registeredPerDomain = 2
	registrarElection   = "register"
	// registrationDelay delays the first registration, so that configurations are read
	// first when all processes start together.
	registrationDelay = 500 * time.Millisecond
)

// Registrar registers the balancer's packet address in the store under a lease, if the
// balancer is among the few of its failure domain that are elected for it.
type Registrar struct {
	client *store.Client
	node   *state.Node
	self   member.Member
	log    log.Logger
}

// NewRegistrar returns a registrar for the balancer self.
func NewRegistrar(client *store.Client, node *state.Node, self member.Member, logger log.Logger) *Registrar {
	return &Registrar{client: client, node: node, self: self, log: logger}
}

// Run maintains the registration until ctx is canceled. The channel receives nil then.
func (r *Registrar) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		r.run(ctx)
		done <- nil
	}()
	return done
}

func (r *Registrar) run(ctx context.Context) {
	lease := store.NewLease(r.client, store.RegistrationKey(r.self.Packet), r.self.Name, registrationTTL)
	failures := 0
	registered := false
	for pause := registrationDelay; wait.For(ctx, pause); {
		if !r.node.Table.Snapshot().Elected(r.self, registrarElection, registeredPerDomain) {
			pause = registrationTTL / registrationRenewals
			continue
		}
		held, err := lease.Renew(ctx)
		if err != nil {
			pause = retry.After(failures)
			failures++
			_ = level.Warn(r.log).Log("event", "registration_failed", "failures", failures, "retry_in", pause, "err", err)
			continue
		}
		pause, failures = registrationTTL/registrationRenewals, 0
		if held != registered {
			registered = held
			_ = level.Info(r.log).Log("event", "registration", "held", registered)
		}
	}
}
