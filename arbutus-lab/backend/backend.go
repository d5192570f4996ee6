// Package backend is a stand-in for a backend server: an HTTP server that runs a
// limited number of requests at once and answers each with a digest of it. In cold
// start it has little capacity and slows down beyond that.
//
// # Usage
//
//	b := backend.New("desk-1", backend.WithSlots(4))
//	done := server.Run(ctx, listener, b)
//	fmt.Println(b.Runs())
//
// A request's digest is the SHA-256 of its ID and body. A request to PathStream is
// answered with one line per period until the caller closes the connection.
package backend

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Headers and paths of requests.
const (
	HeaderRequest = "X-Request-Id"
	HeaderDigest  = "X-Digest"
	HeaderServer  = "X-Server"
	PathStream    = "/stream"
	PathPad       = "/pad"
	PathHealth    = "/health"

	defaultSlots  = 4
	defaultPeriod = 200 * time.Millisecond
	// maxPadBytes limits the size of the answer that a request can ask for.
	maxPadBytes   = 8 << 20
	padBlockBytes = 32 << 10
)

// Faults that a backend server can inject into its answers.
const (
	// WrongAnswer answers each request with the digest of another one.
	WrongAnswer Fault = "wrong_answer"
	// RunTwice records each request as run twice.
	RunTwice Fault = "run_twice"
)

type (
	// Fault names a fault that a backend server injects, to show that the invariant
	// checks detect it.
	Fault string

	// Server is one backend server. It is safe for concurrent use.
	Server struct {
		name  string
		fault Fault
		// slots holds an element for each request that runs.
		slots chan struct{}
		// work is how long a request occupies its slot.
		work time.Duration
		// period is the time between two lines of a stream.
		period time.Duration

		// mu guards the fields below, and work once the server is in use.
		mu sync.Mutex
		// runs counts how often each request ID was run.
		runs map[string]int
		// coldCapacity is how many requests at once the server serves at full speed in
		// cold start, or 0 while it is warm.
		coldCapacity int
		// inFlight counts the requests that run or wait for a slot.
		inFlight int
		// excessArrivals holds the arrival time of each request beyond coldCapacity.
		excessArrivals []time.Time
		// hosts counts requests by their Host header, which names the service.
		hosts map[string]int
	}

	// Option changes how a Server is built.
	Option func(*Server)
)

// WithSlots sets how many requests run at once; further ones wait.
func WithSlots(n int) Option { return func(s *Server) { s.slots = make(chan struct{}, n) } }

// WithWork sets how long a request occupies its slot.
func WithWork(d time.Duration) Option { return func(s *Server) { s.work = d } }

// WithFault sets the fault that the server injects; empty for none.
func WithFault(fault Fault) Option { return func(s *Server) { s.fault = fault } }

// WithStreamPeriod sets the time between two lines of a stream.
func WithStreamPeriod(d time.Duration) Option { return func(s *Server) { s.period = d } }

// New returns a warm backend server. The name is returned in the header HeaderServer.
func New(name string, opts ...Option) *Server {
	s := &Server{
		name:   name,
		slots:  make(chan struct{}, defaultSlots),
		period: defaultPeriod,
		runs:   make(map[string]int),
		hosts:  make(map[string]int),
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Digest returns the digest with which a request is answered: the hexadecimal SHA-256
// of its ID and body.
func Digest(id string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(id))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// Runs returns how often each request ID was run.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Hosts returns how many requests were sent to each service, by its address.
func (s *Server) Hosts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.hosts)
}

// StartColdStart puts the server into cold start: a request occupies its slot for the
// time work. While more than capacity requests run or wait, that time grows in proportion
// to their number. A capacity of 0 ends the cold start.
func (s *Server) StartColdStart(work time.Duration, capacity int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work, s.coldCapacity = work, capacity
}

// ExcessArrivals returns the arrival time of each request that exceeded the server's
// capacity in cold start.
func (s *Server) ExcessArrivals() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.excessArrivals)
}

// RequestCount returns how many different request IDs were run.
func (s *Server) RequestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs)
}

// ServeHTTP implements http.Handler. Health probes and streams need no slot.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderServer, s.name)
	switch r.URL.Path {
	case PathHealth:
		_, _ = fmt.Fprintln(w, "ok")
	case PathStream:
		s.stream(w, r)
	default:
		s.answer(w, r)
	}
}

// answer runs the request in a slot and answers it with its digest and the number of
// bytes that its query asks for.
func (s *Server) answer(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.enter()
	defer s.leave()
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	s.record(r)
	time.Sleep(s.workTime())
	id := r.Header.Get(HeaderRequest)
	switch s.fault {
	case WrongAnswer:
		id += "other"
	case RunTwice:
		s.record(r)
	}
	w.Header().Set(HeaderDigest, Digest(id, body))
	pad, _ := strconv.Atoi(r.URL.Query().Get("bytes"))
	s.pad(w, min(pad, maxPadBytes))
}

// enter counts a request that has arrived. It records the arrival time if the request
// exceeds the capacity in cold start.
func (s *Server) enter() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	if s.coldCapacity > 0 && s.inFlight > s.coldCapacity {
		s.excessArrivals = append(s.excessArrivals, time.Now())
	}
}

// leave counts a request that is no longer in flight.
func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// workTime returns how long a request occupies its slot at the current load.
func (s *Server) workTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.coldCapacity > 0 && s.inFlight > s.coldCapacity {
		return s.work * time.Duration(s.inFlight) / time.Duration(s.coldCapacity)
	}
	return s.work
}

// pad writes n zero bytes, or fewer if the connection ends.
func (s *Server) pad(w io.Writer, n int) {
	block := make([]byte, padBlockBytes)
	for n > 0 {
		part := min(n, len(block))
		if _, err := w.Write(block[:part]); err != nil {
			return
		}
		n -= part
	}
}

// stream writes a line each period until the connection ends.
func (s *Server) stream(w http.ResponseWriter, r *http.Request) {
	s.record(r)
	c := http.NewResponseController(w)
	for i := 0; ; i++ {
		if _, err := fmt.Fprintf(w, "notice %d\n", i); err != nil {
			return
		}
		if err := c.Flush(); err != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(s.period):
		}
	}
}

// record counts a run of the request, by its ID and by its Host header.
func (s *Server) record(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[r.Header.Get(HeaderRequest)]++
	s.hosts[r.Host]++
}
