//go:build wireinject

package serve

import (
	"github.com/go-kit/log"
	"github.com/google/wire"

	"arbutusfront.dev/arbutus-agent/state"
	"arbutusfront.dev/common/protocol/settings"
	"arbutusfront.dev/common/state/feature"
	"arbutusfront.dev/common/transport/network"
)

// build builds an agent from its components.
func build(
	s *settings.Agent, n network.Network, newStack stackFactory, l log.Logger, without feature.Set,
) (*Server, func(), error) {
	wire.Build(
		provideKey,
		provideObserver,
		provideAnnouncer,
		provideBackend,
		provideClient,
		provideBalancers,
		providePeers,
		provideReturnSocket,
		provideEngine,
		provideStack,
		provideLink,
		provideListener,
		provideSender,
		state.NewNode,
		state.NewSelf,
		wire.Struct(new(Server), "*"),
	)
	return nil, nil, nil
}
