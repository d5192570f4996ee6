package sessions

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"arbutusfront.dev/arbutus-agent/passthrough"
	passserve "arbutusfront.dev/arbutus-agent/passthrough/serve"
	"arbutusfront.dev/arbutus-balancer/fabric"
	balancerserve "arbutusfront.dev/arbutus-balancer/serve"
	"arbutusfront.dev/arbutus-lab/backend"
	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/protocol/frame"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/protocol/settings"
)

const (
	portOutbound = 8001

	announceInterval = 400 * time.Millisecond
)

type (
	// flowServer is a backend server that holds its callers' flows itself. It gives
	// back packets of flows that it does not hold.
	flowServer struct {
		output func([]byte)
		accept chan net.Conn

		mu    sync.Mutex
		conns map[ipv4.FlowKey]*endpoint
		// strays counts packets of flows that it does not hold, by flow.
		strays map[ipv4.FlowKey]int
		// deaf lets it drop everything, as a machine without power does.
		deaf bool
	}

	// accepted is the listener of its connections.
	accepted struct{ s *flowServer }

	// passServer is a flow server with the state of its agent.
	passServer struct {
		*flowServer
		mu       sync.Mutex
		agent    *passserve.Server
		born     int64
		sequence uint64
		draining bool
		cold     time.Duration
	}
)

func newFlowServer(output func([]byte)) *flowServer {
	return &flowServer{
		output: output, accept: make(chan net.Conn, 1024),
		conns: make(map[ipv4.FlowKey]*endpoint), strays: make(map[ipv4.FlowKey]int),
	}
}

func (s *flowServer) receive(b []byte) {
	p, err := ipv4.Parse(b)
	if err != nil {
		return
	}
	if e := s.taker(p); e != nil {
		e.receive(p)
	}
}

// taker returns the end that takes the packet. It opens one for a SYN, and gives back
// packets of flows that are not held.
func (s *flowServer) taker(p ipv4.Packet) *endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.conns[p.Key()]
	switch {
	case s.deaf:
	case e != nil && (!p.IsSYN() || p.Sequence()+1 == e.firstNumber()):
		return e
	case p.IsSYN():
		s.open(p)
	default:
		s.strays[p.Key()]++
		returned := append([]byte(nil), p.Bytes()...)
		ipv4.Mark(returned)
		s.output(returned)
	}
	return nil
}

// firstNumber is the caller's first number, while nothing has been received.
func (e *endpoint) firstNumber() uint32 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.opened
}

func (s *flowServer) open(p ipv4.Packet) {
	e := newEndpoint(p.Key(), true, s.output)
	e.state = synReceived
	e.recvNext = p.Sequence() + 1
	e.opened = p.Sequence() + 1
	s.conns[p.Key()] = e
	go func() {
		if err := e.transmit(ipv4.FlagSYN|ipv4.FlagACK, nil, 1); err == nil {
			s.accept <- agentConn{endpoint: e}
		}
	}()
}

// lose forgets all flows, as a crash does.
func (s *flowServer) lose() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, e := range s.conns {
		e.mu.Lock()
		e.output = func([]byte) {}
		e.fail(net.ErrClosed)
		e.mu.Unlock()
		delete(s.conns, key)
	}
}

func (l accepted) Accept() (net.Conn, error) {
	c, ok := <-l.s.accept
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l accepted) Close() error   { return nil }
func (l accepted) Addr() net.Addr { return &net.TCPAddr{} }

func returnAddress(netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(fabricHost, portReturn) }

// startPassBalancer starts a balancer that remembers where flows are.
func (w *world) startPassBalancer(name, domain string) {
	host := w.place(name, domain, "")
	w.mu.Lock()
	known := false
	for _, b := range w.balancers {
		known = known || b == name
	}
	if !known {
		w.balancers = append(w.balancers, name)
	}
	w.mu.Unlock()
	s := settings.Balancer{Identity: w.identity(name, domain), FabricAddress: w.at(name, portFabric), StoreURL: storeURL()}
	w.start(name, func(ctx context.Context) error {
		logger := log.NewLogfmtLogger(lockedWriter{w})
		b, cleanup, err := balancerserve.Build(&s, w.network.Host(host), logger, balancerserve.Mode{
			Fabric:     []fabric.Option{fabric.WithPlacement(), fabric.WithPendingPackets(), fabric.WithCallers(returnAddress)},
			Registered: true, StoredFlows: true,
			SyncBound: 500 * time.Millisecond,
			CatchUp:   time.Second,
			Leaving: balancerserve.Leaving{
				MinTime: time.Second, Quiet: 200 * time.Millisecond, MaxTime: 5 * time.Second, CheckInterval: 20 * time.Millisecond,
			},
		})
		if err != nil {
			return err
		}
		defer cleanup()
		return b.Run(ctx)
	})
}

// startFlowServer starts a backend server that holds flows itself, without an agent.
func (w *world) startFlowServer(name, service, domain string) *passServer {
	host := w.place(name, domain, service)
	n := w.network.Host(host)
	socket, err := n.ListenPacket(w.at(name, portBackend))
	w.must(err)
	s := &passServer{born: time.Now().UnixMilli()}
	s.flowServer = newFlowServer(func(b []byte) { _ = socket.Write(b, w.at(name, portOutbound)) })
	b := backend.New(name, backend.WithStreamPeriod(w.streamPeriod))
	w.mu.Lock()
	w.backends[name] = b
	w.mu.Unlock()
	w.serveHTTP(name+"-health", host, portBackend, b)
	w.start(name+"-flows", func(ctx context.Context) error {
		server := &http.Server{Handler: b}
		go func() { _ = server.Serve(accepted{s.flowServer}) }()
		context.AfterFunc(ctx, func() {
			s.lose()
			close(s.accept)
			_ = server.Close()
			_ = socket.Close()
		})
		batch := newBatch()
		for {
			n, err := socket.ReadBatch(batch)
			if err != nil {
				return nil
			}
			for i := range n {
				s.receive(batch[i].Bytes())
			}
		}
	})
	return s
}

// startPassAgent starts the agent of a flow server.
func (w *world) startPassAgent(name, service, domain string, s *passServer) {
	host := w.place(name, domain, service)
	agent := settings.Agent{Identity: w.identity(name, domain), Service: service, BackendAddress: w.at(name, portBackend)}
	w.start(name, func(ctx context.Context) error {
		logger := log.NewLogfmtLogger(lockedWriter{w})
		a, cleanup, err := passserve.Build(&agent, w.network.Host(host), logger, passserve.Mode{
			Codec: frame.IPv4(), Outbound: w.at(name, portOutbound), ReplyAddressOf: returnAddress,
		})
		if err != nil {
			return err
		}
		defer cleanup()
		announcing, stop := context.WithCancel(context.WithoutCancel(ctx))
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			s.announceTo(announcing, name, a)
		}()
		err = a.Run(ctx)
		stop()
		<-ended
		return err
	})
}

// announceTo tells the agent of the backend server until ctx ends.
func (s *passServer) announceTo(ctx context.Context, name string, a *passserve.Server) {
	s.mu.Lock()
	s.agent = a
	s.mu.Unlock()
	for ctx.Err() == nil {
		s.mu.Lock()
		s.sequence++
		announcement := passthrough.Announcement{
			ID: name, StartedUnixMillis: s.born, Sequence: s.sequence, Draining: s.draining, ColdFor: s.cold, Slots: deskServers,
		}
		s.mu.Unlock()
		if !s.isDeaf() {
			a.Backend().Announce(announcement)
		}
		select {
		case <-ctx.Done():
		case <-time.After(announceInterval):
		}
	}
}

func (s *flowServer) isDeaf() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deaf
}

// startPassPhellos starts the Phellos deployment with backend servers that hold flows
// themselves.
func (w *world) startPassPhellos() map[string]*passServer {
	domains := []string{"arcadia-a", "messinia-b", "laconia-c"}
	servers := make(map[string]*passServer)
	cfg, problems := config.LoadDirectory("../../examples/phellos")
	w.g.Expect(problems).To(BeEmpty())
	cfg.Deployment.DomainOut = config.KeepFlows
	w.applyConfig(cfg)
	for i, d := range domains {
		w.startPassBalancer("balancer-"+string(rune('1'+i)), d)
	}
	start := func(prefix, service string, n int) {
		for i := range n {
			name := prefix + "-" + string(rune('1'+i))
			servers[name] = w.startFlowServer(name, service, domains[i%len(domains)])
			w.startPassAgent(name, service, domains[i%len(domains)], servers[name])
		}
	}
	start("contract-desk", "contract-desk", deskServers)
	start("plot-maps", "plot-maps", mapServers)
	w.spray()
	time.Sleep(5 * time.Second)
	w.g.Expect(w.fabric.Ready()).To(Equal(len(domains)))
	return servers
}
