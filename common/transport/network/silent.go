package network

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// maxAttempts bounds the attempts of one request.
const maxAttempts = 4

type (
	// silenceCloser makes the requests of an HTTP client. It closes the connection of a
	// request that timed out if the peer has sent nothing on it since. Such a connection may
	// be silent for good, and would otherwise carry the next requests too.
	//
	// The transport hands out a closed connection until its reader has noticed. A request that
	// gets one is repeated: nothing of it can have been written.
	silenceCloser struct {
		*http.Transport
	}

	// trackedConn is a connection that records when something was last received, and whether
	// it was discarded.
	trackedConn struct {
		net.Conn
		lastReadUnixNano atomic.Int64
		discarded        atomic.Bool
		// released is closed when the transport closes the connection, which it does after
		// it has removed it from its pool.
		released     chan struct{}
		closeRelease func()
	}

	// usedConn is the connection that a request got last.
	usedConn struct {
		*trackedConn
		// wasDiscarded is whether it had been discarded before.
		wasDiscarded bool
	}
)

func newTrackedConn(c net.Conn) *trackedConn {
	released := make(chan struct{})
	return &trackedConn{Conn: c, released: released, closeRelease: sync.OnceFunc(func() { close(released) })}
}

// RoundTrip implements http.RoundTripper.
func (s silenceCloser) RoundTrip(r *http.Request) (*http.Response, error) {
	for attempt := 1; ; attempt++ {
		response, used, err := s.try(r)
		if err == nil || used == nil || !used.wasDiscarded || attempt == maxAttempts {
			return response, err
		}
		again, ok := rewind(r)
		if !ok {
			return nil, err
		}
		select {
		case <-used.released:
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
		r = again
	}
}

// try makes one attempt, and also returns the connection that it used, if any.
func (s silenceCloser) try(r *http.Request) (*http.Response, *usedConn, error) {
	var got atomic.Pointer[usedConn]
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*trackedConn); ok {
			got.Store(&usedConn{trackedConn: c, wasDiscarded: c.discarded.Load()})
		}
	}})
	sent := time.Now()
	response, err := s.Transport.RoundTrip(r.WithContext(ctx))
	timedOut := err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded)
	used := got.Load()
	if timedOut && used != nil && !used.hasReadSince(sent) {
		used.discard()
	}
	return response, used, err
}

// rewind returns the request with its body at the start. It reports false if there is no copy of
// the body.
func rewind(r *http.Request) (*http.Request, bool) {
	if r.Body == nil || r.Body == http.NoBody {
		return r, true
	}
	if r.GetBody == nil {
		return nil, false
	}
	body, err := r.GetBody()
	if err != nil {
		return nil, false
	}
	again := r.WithContext(r.Context())
	again.Body = body
	return again, true
}

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastReadUnixNano.Store(time.Now().UnixNano())
	}
	return n, err
}

// Write implements net.Conn. It writes nothing once the connection is discarded, so that a request
// that got the connection later can be repeated.
func (c *trackedConn) Write(b []byte) (int, error) {
	if c.discarded.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn. Only the transport calls it.
func (c *trackedConn) Close() error {
	c.closeRelease()
	return c.Conn.Close()
}

// discard closes the connection for the transport, whose reader then fails.
func (c *trackedConn) discard() {
	c.discarded.Store(true)
	_ = c.Conn.Close()
}

func (c *trackedConn) hasReadSince(t time.Time) bool {
	return c.lastReadUnixNano.Load() >= t.UnixNano()
}
