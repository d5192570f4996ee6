//go:build wireinject

package serve

import (
	"github.com/go-kit/log"
	"github.com/google/wire"

	"arbutusfront.dev/arbutus-agent/state"
	"arbutusfront.dev/common/protocol/settings"
	"arbutusfront.dev/common/transport/network"
)

// build wires an agent in pass-through mode.
func build(s *settings.Agent, n network.Network, l log.Logger, opts Options) (*Server, func(), error) {
	wire.Build(
		provideSender,
		provideObserver,
		provideKey,
		provideBackend,
		provideAnnouncer,
		provideClient,
		provideBalancers,
		providePeers,
		provideBackendSocket,
		provideEngine,
		provideLink,
		provideListener,
		provideWithout,
		state.NewNode,
		state.NewSelf,
		wire.Struct(new(Server), "*"),
	)
	return nil, nil, nil
}
