//go:build wireinject

package serve

import (
	"github.com/go-kit/log"
	"github.com/google/wire"

	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/protocol/settings"
	"arbutusfront.dev/common/transport/network"
)

// build assembles a balancer from its providers.
func build(s *settings.Balancer, n network.Network, l log.Logger, m Mode) (*Server, func(), error) {
	wire.Build(
		provideKey,
		provideSelf,
		provideObserver,
		provideAnnouncer,
		provideClients,
		providePeers,
		provideLink,
		provideForwarder,
		provideWatcher,
		provideCollector,
		provideRegistrar,
		provideLedger,
		provideOperator,
		provideListener,
		provideSender,
		provideStart,
		state.NewNode,
		wire.Struct(new(Server), "*"),
	)
	return nil, nil, nil
}
