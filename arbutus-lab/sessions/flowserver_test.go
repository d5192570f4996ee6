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
	// flowServer is a backend server in pass-through mode, which terminates its callers'
	// flows itself. It returns packets of flows that it does not hold to the agent, with the
	// reserved bit set (ipv4.Mark). It is safe for concurrent use.
	flowServer struct {
		output func([]byte)
		accept chan net.Conn

		mu    sync.Mutex
		conns map[ipv4.FlowKey]*endpoint
		// strays counts the returned packets of each flow that it does not hold.
		strays map[ipv4.FlowKey]int
		// deaf makes it drop every packet and send no announcement, like a machine without
		// power.
		deaf bool
	}

	// flowListener is the net.Listener of a flowServer's connections.
	flowListener struct{ s *flowServer }

	// passServer is a flowServer with the state that it announces to its agent.
	passServer struct {
		*flowServer
		mu    sync.Mutex
		agent *passserve.Server
		// born is the start time of its run, in Unix milliseconds.
		born     int64
		sequence uint64
		draining bool
		// cold is its remaining warm-up time.
		cold time.Duration
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
	if e := s.route(p); e != nil {
		e.receive(p)
	}
}

// route returns the connection that receives the packet, or nil. A SYN with a new sequence
// number opens a connection, in place of an earlier one of the flow. Packets of flows that
// are not held are returned to the agent.
func (s *flowServer) route(p ipv4.Packet) *endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.conns[p.Key()]
	switch {
	case s.deaf:
	case e != nil && (!p.IsSYN() || p.Sequence()+1 == e.firstSequence()):
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

// firstSequence returns the sequence number that follows the caller's SYN.
func (e *endpoint) firstSequence() uint32 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.opened
}

// open opens a connection for the SYN. mu must be held.
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

// lose drops all flows without a FIN or RST, as a crash does.
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

func (l flowListener) Accept() (net.Conn, error) {
	c, ok := <-l.s.accept
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l flowListener) Close() error   { return nil }
func (l flowListener) Addr() net.Addr { return &net.TCPAddr{} }

// returnAddress is the fabric's address for replies to any caller.
func returnAddress(netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(fabricHost, portReturn) }

// startPassBalancer starts a balancer in pass-through mode, which stores where flows are
// placed.
func (w *world) startPassBalancer(name, domain string) {
	host := w.place(name, domain, "")
	w.mu.Lock()
	listed := false
	for _, b := range w.balancers {
		listed = listed || b == name
	}
	if !listed {
		w.balancers = append(w.balancers, name)
	}
	w.mu.Unlock()
	s := settings.Balancer{Identity: w.identity(name, domain), FabricAddress: w.at(name, portFabric), StoreURL: storeURL()}
	w.start(name, func(ctx context.Context) error {
		logger := log.NewLogfmtLogger(lockedWriter{w})
		b, cleanup, err := balancerserve.Build(&s, w.network.Host(host), logger, balancerserve.Mode{
			Fabric:     []fabric.Option{fabric.WithPlacement(), fabric.WithPendingPackets(), fabric.WithCallers(returnAddress)},
			Registered: true, StoredFlows: true,
			SyncTimeout: 500 * time.Millisecond,
			CatchUpTime: time.Second,
			Leaving: balancerserve.LeaveTiming{
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

// startFlowServer starts a backend server that holds flows itself, without its agent.
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
		go func() { _ = server.Serve(flowListener{s.flowServer}) }()
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

// startPassAgent starts the agent of s, and announces s to it while it runs.
func (w *world) startPassAgent(name, service, domain string, s *passServer) {
	host := w.place(name, domain, service)
	agent := settings.Agent{Identity: w.identity(name, domain), Service: service, BackendAddress: w.at(name, portBackend)}
	w.start(name, func(ctx context.Context) error {
		logger := log.NewLogfmtLogger(lockedWriter{w})
		a, cleanup, err := passserve.Build(&agent, w.network.Host(host), logger, passserve.Options{
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

// announceTo sends the backend server's announcements to its agent until ctx ends.
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
		if !s.isSilent() {
			a.Backend().Announce(announcement)
		}
		select {
		case <-ctx.Done():
		case <-time.After(announceInterval):
		}
	}
}

func (s *flowServer) isSilent() bool {
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
