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
func (w *world) serveHTTP(name string, host netip.Addr, port uint16, h http.Handler) {
	l, err := w.network.Host(host).Listen(netip.AddrPortFrom(host, port))
	w.must(err)
	w.start(name, func(ctx context.Context) error { return <-server.Run(ctx, l, h) })
}

// identity returns the settings that are common to balancers and agents. The seeds are
// the first three balancers.
func (w *world) identity(name, domain string) settings.Identity {
	return settings.Identity{
		Name: name, Domain: domain, Secret: deploymentSecret,
		PacketAddress:  w.at(name, portPacket),
		ControlAddress: w.at(name, portControl),
		Seeds: []netip.AddrPort{
			w.at("balancer-1", portPacket), w.at("balancer-2", portPacket), w.at("balancer-3", portPacket),
		},
	}
}

// startBalancer starts a balancer. The fabric sends to a new one only after a call of
// spray.
func (w *world) startBalancer(name, domain string) {
	w.mu.Lock()
	w.balancers = append(w.balancers, name)
	w.mu.Unlock()
	w.runBalancer(name, domain, w.identity(name, domain))
}

// startBalancerWithoutSeeds starts a balancer that has no seeds, so it finds no other
// balancer by itself.
func (w *world) startBalancerWithoutSeeds(name, domain string) {
	identity := w.identity(name, domain)
	identity.Seeds = nil
	w.runBalancer(name, domain, identity)
}

func (w *world) runBalancer(name, domain string, identity settings.Identity) {
	host := w.place(name, domain, "")
	opts := &balancerserve.Options{
		Streams: command.Streams{Err: lockedWriter{w}},
		Network: func() network.Network { return w.network.Host(host) },
		Settings: settings.Balancer{
			Identity:      identity,
			FabricAddress: w.at(name, portFabric),
			StoreURL:      storeURL(),
		},
	}
	w.start(name, func(ctx context.Context) error { return balancerserve.Run(ctx, opts) })
}

// startAgent starts an agent on the named host, in front of the backend server there. It
// claims the host's name, or the last of claims.
func (w *world) startAgent(name, service, domain string, claims ...string) {
	identity := w.identity(name, domain)
	for _, claim := range claims {
		identity.Name = claim
	}
	w.runAgent(name, service, identity, name)
}

// startSecondAgent starts an agent on a host of its own, in front of the backend server
// of the first agent, whose name it claims.
func (w *world) startSecondAgent(second, first, service, domain string) {
	identity := w.identity(second, domain)
	identity.Name = first
	w.runAgent(second, service, identity, first)
}

// startStrayAgent starts an agent whose seeds are addresses where nothing runs.
func (w *world) startStrayAgent(name, service, domain string) {
	identity := w.identity(name, domain)
	for i := range identity.Seeds {
		identity.Seeds[i] = w.at(fmt.Sprintf("gone-%d", i+1), portPacket)
	}
	w.runAgent(name, service, identity, name)
}

// runAgent starts an agent on the named host, in front of the backend server of that name.
func (w *world) runAgent(name, service string, identity settings.Identity, server string) {
	host := w.place(name, identity.Domain, service)
	opts := &agentserve.Options{
		Streams: command.Streams{Err: lockedWriter{w}},
		Network: func() network.Network { return w.network.Host(host) },
		Stack:   newMinimalStack,
		Settings: settings.Agent{
			Identity:       identity,
			Service:        service,
			BackendAddress: w.at(server, portBackend),
			FabricReturn:   netip.AddrPortFrom(fabricHost, portReturn),
			FabricEntry:    netip.AddrPortFrom(fabricHost, portFabric),
		},
	}
	w.start(name, func(ctx context.Context) error { return agentserve.Run(ctx, opts) })
}

// startServer starts a backend server and its agent on one host. The agent claims the
// host's name, or the last of claims.
func (w *world) startServer(name, service, domain string, claims ...string) {
	w.startBackend(name, service, domain)
	w.startAgent(name, service, domain, claims...)
}

// startBackend starts a backend server. One that ran before under the name keeps its
// counts of requests.
func (w *world) startBackend(name, service, domain string) {
	host := w.place(name, domain, service)
	w.mu.Lock()
	b, ok := w.backends[name]
	if !ok {
		b = backend.New(name, backend.WithStreamPeriod(w.streamPeriod), backend.WithWork(w.work))
		w.backends[name] = b
	}
	w.mu.Unlock()
	w.serveHTTP(name+"-backend", host, portBackend, b)
}

// start runs a process until it ends or is stopped.
func (w *world) start(name string, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &process{cancel: cancel, done: make(chan error, 1)}
	w.mu.Lock()
	w.running[name] = r
	w.mu.Unlock()
	go func() { r.done <- run(ctx) }()
}

// stop ends a process gracefully and waits until it has ended.
func (w *world) stop(name string) {
	w.mu.Lock()
	r := w.running[name]
	delete(w.running, name)
	w.mu.Unlock()
	r.cancel()
	w.must(<-r.done)
}

// stopping begins the graceful end of a process and does not wait for it.
func (w *world) stopping(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running[name].cancel()
}

// kill closes all sockets of the host at once, as if its processes had been killed.
func (w *world) kill(name string) {
	w.network.Kill(w.at(name, 0).Addr())
}

// place records the failure domain and the service of the named host, and returns its
// address.
func (w *world) place(name, domain, service string) netip.Addr {
	a := w.at(name, 0).Addr()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.domains[a] = domain
	w.services[a] = service
	return a
}
