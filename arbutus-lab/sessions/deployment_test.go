// Package sessions contains deployment tests in virtual time. A session is one run of a whole
// deployment (balancers, agents, backend servers, the store, the fabric, callers and operators)
// over a simulated network.
package sessions

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/arbutus-lab/backend"
	"arbutusfront.dev/arbutus-lab/fabric"
	"arbutusfront.dev/arbutus-lab/store"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/protocol/settings"
	"arbutusfront.dev/common/state/feature"
	"arbutusfront.dev/common/transport/memory"
)

const (
	portFabric  = 7001
	portPacket  = 7002
	portControl = 7003
	portReturn  = 7004
	portBackend = 8000

	// deskServers and mapServers are the numbers of backend servers of contract-desk and
	// plot-maps in the Phellos deployment.
	deskServers = 7
	mapServers  = 3

	deploymentSecret = "a secret for sessions only"
)

var (
	storeHost  = netip.MustParseAddr("10.1.0.1")
	fabricHost = netip.MustParseAddr("10.1.0.2")
	ctlHost    = netip.MustParseAddr("10.1.0.3")
	callerAddr = netip.MustParseAddr("10.4.0.1")
)

type (
	// deployment is the test harness: a whole deployment on a simulated network in
	// virtual time.
	deployment struct {
		t       *testing.T
		g       *WithT
		network *memory.Network
		store   *store.Store
		fabric  *fabric.Fabric
		caller  *callerHost
		// dir contains the settings files and copies of the deployment's files.
		dir  string
		logs bytes.Buffer
		// namedLogs adds the time and the process's name to the lines of balancers and of
		// pass-through agents.
		namedLogs bool
		startedAt time.Time

		mu sync.Mutex
		// addresses contains the host's address of each named process.
		addresses map[string]netip.Addr
		// domains and services contain the failure domain and the service of the process at
		// each address.
		domains  map[netip.Addr]string
		services map[netip.Addr]string
		// isCut reports whether the link from one host to another drops every packet.
		isCut func(from, to netip.Addr) bool
		// stoppedUntil is until when a host seems stopped: what arrives there, and what it sends, is
		// delayed until then. Its processes run on, and reach each other.
		stoppedUntil map[netip.Addr]time.Time
		// loss, duplication and jitter apply to all links, except those of a host to
		// itself. Links within a failure domain have no jitter.
		loss        float64
		duplication float64
		jitter      time.Duration
		// streamPeriod is the time between two lines of a stream's response.
		streamPeriod time.Duration
		// requestDuration is the time that a backend server takes for a request.
		requestDuration time.Duration
		// without are the features that are switched off at agents, by their names.
		without map[string]feature.Set
		// requests counts the requests with a number of their own.
		requests int
		running  map[string]*process
		backends map[string]*backend.Server
		// balancers are the names of the balancers that updateFabric gives to the fabric.
		balancers []string
		// arrivals are all callers' packets to agents so far, in order of time.
		arrivals []arrival
		// instances contains, for each agent, the target instance in the header of the last
		// packet sent to it.
		instances map[string]uint64
	}

	// process is a running process of the deployment.
	process struct {
		cancel context.CancelFunc
		done   chan error
	}

	// arrival is a caller's packet that was delivered to an agent.
	arrival struct {
		at      time.Time
		agent   string
		domain  string
		service string
		key     ipv4.FlowKey
		isSYN   bool
	}

	// lockedWriter appends to the logs of all processes. It is safe for concurrent use.
	lockedWriter struct{ w *deployment }
)

// runSession runs the session against a new deployment in a synctest bubble, so that time
// is virtual, and stops all processes at its end. The seed decides the network's loss,
// duplication and jitter, and the fabric's choice of balancers.
func runSession(t *testing.T, seed uint64, run func(w *deployment)) {
	t.Helper()
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		w := &deployment{
			t: t, g: NewWithT(t), dir: dir,
			network:      memory.New(seed),
			jitter:       2 * time.Millisecond,
			streamPeriod: time.Second,
			store:        store.New(),
			startedAt:    time.Now(),
			addresses:    make(map[string]netip.Addr),
			domains:      make(map[netip.Addr]string),
			services:     make(map[netip.Addr]string),
			isCut:        func(netip.Addr, netip.Addr) bool { return false },
			running:      make(map[string]*process),
			backends:     make(map[string]*backend.Server),
			instances:    make(map[string]uint64),
			stoppedUntil: make(map[netip.Addr]time.Time),
			without:      make(map[string]feature.Set),
		}
		w.network.SetLinks(w.link)
		w.network.Observe(w.recordArrival)
		w.startInfrastructure(seed)
		defer w.close()
		run(w)
	})
}

func (l lockedWriter) Write(b []byte) (int, error) {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	return l.w.logs.Write(b)
}

// link returns the link between two hosts. The delay is 5 ms between failure domains and to
// the store, the fabric and operators, and 3 ms to callers, both with jitter. It is 200 µs
// without jitter within a failure domain. A host reaches itself without delay, loss or
// duplication. Any link, also that of a host to itself, can be cut.
func (w *deployment) link(from, to netip.Addr) memory.Link {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := memory.Link{
		Delay: 5 * time.Millisecond, Jitter: w.jitter,
		Loss: w.loss, Duplication: w.duplication, Cut: w.isCut(from, to),
	}
	if from == to {
		return memory.Link{Cut: l.Cut}
	}
	switch {
	case from == callerAddr || to == callerAddr:
		l.Delay = 3 * time.Millisecond
	case w.domains[from] != "" && w.domains[from] == w.domains[to]:
		l.Delay, l.Jitter = 200*time.Microsecond, 0
	}
	now := time.Now()
	l.Delay += max(w.stoppedUntil[from].Sub(now), w.stoppedUntil[to].Sub(now), 0)
	return l
}

// recordArrival records a datagram that carries a caller's packet to an agent, and the target
// instance in its header, under each process name that has the agent's address. It ignores all
// other datagrams.
func (w *deployment) recordArrival(_, to netip.AddrPort, b []byte) {
	if kind, err := capsule.KindOf(b); err != nil || kind != capsule.KindPacket || to.Port() != portPacket {
		return
	}
	h, packet, err := capsule.ParsePacket(b, nil)
	if err != nil {
		return
	}
	p, err := ipv4.Parse(packet)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	a := to.Addr()
	for name, host := range w.addresses {
		if host == a {
			w.instances[name] = h.Target
			w.arrivals = append(w.arrivals, arrival{
				at: time.Now(), agent: name, domain: w.domains[a], service: w.services[a], key: p.Key(), isSYN: p.IsSYN(),
			})
		}
	}
}

// startInfrastructure starts the store, the fabric and the caller's host, and writes the
// settings of arbutusctl.
func (w *deployment) startInfrastructure(seed uint64) {
	mux := http.NewServeMux()
	mux.Handle(w.store.Handler())
	w.serveHTTP("store", storeHost, portControl, mux)
	n := w.network.Host(fabricHost)
	entrySocket, err := n.ListenPacket(netip.AddrPortFrom(fabricHost, portFabric))
	w.must(err)
	returnSocket, err := n.ListenPacket(netip.AddrPortFrom(fabricHost, portReturn))
	w.must(err)
	client := n.HTTP1Client()
	w.fabric = fabric.New(entrySocket, returnSocket, client, fabric.WithSeed(seed))
	w.start("fabric", func(ctx context.Context) error {
		defer client.CloseIdleConnections()
		return <-w.fabric.Run(ctx)
	})
	socket, err := w.network.Host(callerAddr).ListenPacket(netip.AddrPortFrom(callerAddr, portReturn))
	w.must(err)
	w.caller = newCallerHost(callerAddr, func(b []byte) {
		_ = socket.Write(b, netip.AddrPortFrom(fabricHost, portFabric))
	})
	w.start("caller", func(ctx context.Context) error {
		context.AfterFunc(ctx, func() { _ = socket.Close() })
		batch := newBatch()
		for {
			if _, err := socket.ReadBatch(batch); err != nil {
				return nil
			}
			w.caller.receive(batch[0].Bytes())
		}
	})
	w.writeSettings("ctl", settings.Operator{
		StoreURL:  storeURL(),
		Balancers: []netip.AddrPort{w.address("balancer-1", portControl), w.address("balancer-3", portControl)},
		Secret:    deploymentSecret,
	})
}

func storeURL() string { return "http://" + netip.AddrPortFrom(storeHost, portControl).String() }

// address returns the address of the named process's host with the port. A new name gets a
// host of its own, and keeps it.
func (w *deployment) address(name string, port uint16) netip.AddrPort {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, ok := w.addresses[name]
	if !ok {
		a = netip.AddrFrom4([4]byte{10, 2, uint8(len(w.addresses) / 250), uint8(1 + len(w.addresses)%250)})
		w.addresses[name] = a
	}
	return netip.AddrPortFrom(a, port)
}

// must fails the test on an error.
func (w *deployment) must(err error) {
	w.t.Helper()
	w.g.Expect(err).NotTo(HaveOccurred())
}

// stream is a long-lived flow whose response is sent line by line.
type stream struct {
	server string
	body   io.ReadCloser
	// end holds the error with which the response ended, io.EOF for its regular end.
	end chan error
}

func (s *stream) close() { _ = s.body.Close() }

// waitUntil checks the condition every 10 ms until it holds, and reports whether it did within
// the bound of virtual time.
func (w *deployment) waitUntil(bound time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(bound)
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(10 * time.Millisecond)
	}
	return true
}

// everySecond calls each at the end of every second of d, with the second's index from 0.
func everySecond(d time.Duration, each func(second int)) {
	for s := range int(d / time.Second) {
		time.Sleep(time.Second)
		each(s)
	}
}

// countArrivals counts the matching packets that were delivered to agents at t or later.
func (w *deployment) countArrivals(t time.Time, match func(arrival) bool) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, a := range w.arrivals {
		if !a.at.Before(t) && match(a) {
			n++
		}
	}
	return n
}

// instance returns the target instance in the header of the last packet sent to the agent.
func (w *deployment) instance(name string) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.instances[name]
}

// log returns the logs of all processes in the order in which they were written.
func (w *deployment) log() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.logs.String()
}

// runsByRequest returns how often the backend servers ran each request, by request ID.
func (w *deployment) runsByRequest() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := make(map[string]int)
	for _, b := range w.backends {
		for id, n := range b.Runs() {
			total[id] += n
		}
	}
	return total
}
