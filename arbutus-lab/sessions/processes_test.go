package sessions

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"

	agentserve "arbutusfront.dev/arbutus-agent/serve"
	balancerserve "arbutusfront.dev/arbutus-balancer/serve"
	"arbutusfront.dev/arbutus-lab/backend"
	"arbutusfront.dev/common/command"
	"arbutusfront.dev/common/protocol/settings"
	"arbutusfront.dev/common/transport/network"
	"arbutusfront.dev/common/transport/server"
)

// serveHTTP starts a process that serves HTTP on a port of the host.
func (w *deployment) serveHTTP(name string, host netip.Addr, port uint16, h http.Handler) {
	l, err := w.network.Host(host).Listen(netip.AddrPortFrom(host, port))
	w.must(err)
	w.start(name, func(ctx context.Context) error { return <-server.Run(ctx, l, h) })
}

// identity returns the settings that are common to balancers and agents. The seeds are
// the first three balancers.
func (w *deployment) identity(name, domain string) settings.Identity {
	return settings.Identity{
		Name: name, Domain: domain, Secret: deploymentSecret,
		PacketAddress:  w.address(name, portPacket),
		ControlAddress: w.address(name, portControl),
		Seeds: []netip.AddrPort{
			w.address("balancer-1", portPacket), w.address("balancer-2", portPacket), w.address("balancer-3", portPacket),
		},
	}
}

// startBalancer starts a balancer. The fabric sends packets to it only after a call of
// updateFabric.
func (w *deployment) startBalancer(name, domain string) {
	w.mu.Lock()
	w.balancers = append(w.balancers, name)
	w.mu.Unlock()
	w.runBalancer(name, domain, w.identity(name, domain))
}

// startBalancerWithoutSeeds starts a balancer that has no seeds, so it finds no other
// balancer by itself.
func (w *deployment) startBalancerWithoutSeeds(name, domain string) {
	identity := w.identity(name, domain)
	identity.Seeds = nil
	w.runBalancer(name, domain, identity)
}

func (w *deployment) runBalancer(name, domain string, identity settings.Identity) {
	host := w.registerHost(name, domain, "")
	opts := &balancerserve.Options{
		Streams: command.Streams{Err: w.logWriter(name)},
		Network: func() network.Network { return w.network.Host(host) },
		Settings: settings.Balancer{
			Identity:      identity,
			FabricAddress: w.address(name, portFabric),
			StoreURL:      storeURL(),
		},
	}
	w.start(name, func(ctx context.Context) error { return balancerserve.Run(ctx, opts) })
}

// startAgent starts an agent on the named host, in front of the backend server there. It
// claims the name given in claims, or without one the host's name.
func (w *deployment) startAgent(name, service, domain string, claims ...string) {
	identity := w.identity(name, domain)
	for _, claim := range claims {
		identity.Name = claim
	}
	w.runAgent(name, service, identity, name)
}

// startSecondAgent starts an agent on a host of its own, in front of the backend server
// of the first agent, whose name it claims.
func (w *deployment) startSecondAgent(second, first, service, domain string) {
	identity := w.identity(second, domain)
	identity.Name = first
	w.runAgent(second, service, identity, first)
}

// startAgentWithUnreachableSeeds starts an agent whose seeds are addresses where nothing runs.
func (w *deployment) startAgentWithUnreachableSeeds(name, service, domain string) {
	identity := w.identity(name, domain)
	for i := range identity.Seeds {
		identity.Seeds[i] = w.address(fmt.Sprintf("gone-%d", i+1), portPacket)
	}
	w.runAgent(name, service, identity, name)
}

// runAgent starts an agent on the named host, in front of the backend server serverName.
func (w *deployment) runAgent(name, service string, identity settings.Identity, serverName string) {
	host := w.registerHost(name, identity.Domain, service)
	opts := &agentserve.Options{
		Streams: command.Streams{Err: lockedWriter{w}},
		Network: func() network.Network { return w.network.Host(host) },
		Stack:   newMinimalStack,
		Without: w.without[name],
		Settings: settings.Agent{
			Identity:       identity,
			Service:        service,
			BackendAddress: w.address(serverName, portBackend),
			FabricReturn:   netip.AddrPortFrom(fabricHost, portReturn),
			FabricEntry:    netip.AddrPortFrom(fabricHost, portFabric),
		},
	}
	w.start(name, func(ctx context.Context) error { return agentserve.Run(ctx, opts) })
}

// startServer starts a backend server and its agent on one host. The agent claims the name
// given in claims, or without one the host's name.
func (w *deployment) startServer(name, service, domain string, claims ...string) {
	w.startBackend(name, service, domain)
	w.startAgent(name, service, domain, claims...)
}

// startBackend starts a backend server. If one ran under that name before, it keeps the
// counts of requests.
func (w *deployment) startBackend(name, service, domain string) {
	host := w.registerHost(name, domain, service)
	w.mu.Lock()
	b, ok := w.backends[name]
	if !ok {
		b = backend.New(name, backend.WithStreamPeriod(w.streamPeriod), backend.WithWork(w.requestDuration))
		w.backends[name] = b
	}
	w.mu.Unlock()
	w.serveHTTP(name+"-backend", host, portBackend, b)
}

// start starts a process in the background and records it under the name.
func (w *deployment) start(name string, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &process{cancel: cancel, done: make(chan error, 1)}
	w.mu.Lock()
	w.running[name] = r
	w.mu.Unlock()
	go func() { r.done <- run(ctx) }()
}

// stop ends a process gracefully and waits until it has ended.
func (w *deployment) stop(name string) {
	w.mu.Lock()
	r := w.running[name]
	delete(w.running, name)
	w.mu.Unlock()
	r.cancel()
	w.must(<-r.done)
}

// beginStop begins to end a process gracefully and does not wait until it has ended.
func (w *deployment) beginStop(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running[name].cancel()
}

// kill closes all sockets of the host at once, as if its processes had been killed. Their
// contexts are not canceled.
func (w *deployment) kill(name string) {
	w.network.Kill(w.address(name, 0).Addr())
}

// registerHost records the failure domain and the service of the named host, and returns its
// address.
func (w *deployment) registerHost(name, domain, service string) netip.Addr {
	a := w.address(name, 0).Addr()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.domains[a] = domain
	w.services[a] = service
	return a
}
