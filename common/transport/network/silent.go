package network

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

type (
	// silenceCloser makes the requests of an HTTP client. It closes the connection of a
	// request that timed out if the peer has sent nothing on it since. Such a connection may
	// be silent for good, and would otherwise carry the next requests too.
	silenceCloser struct {
		*http.Transport
	}

	// trackedConn is a connection that records when something was last received.
	trackedConn struct {
		net.Conn
		lastReadUnixNano atomic.Int64
	}
)

// RoundTrip implements http.RoundTripper.
func (s silenceCloser) RoundTrip(r *http.Request) (*http.Response, error) {
	var used atomic.Pointer[trackedConn]
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*trackedConn); ok {
			used.Store(c)
		}
	}})
	sent := time.Now()
	response, err := s.Transport.RoundTrip(r.WithContext(ctx))
	timedOut := err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded)
	if c := used.Load(); timedOut && c != nil && !c.hasReadSince(sent) {
		_ = c.Close()
	}
	return response, err
}

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastReadUnixNano.Store(time.Now().UnixNano())
	}
	return n, err
}

func (c *trackedConn) hasReadSince(t time.Time) bool {
	return c.lastReadUnixNano.Load() >= t.UnixNano()
}
