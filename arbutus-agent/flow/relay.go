package flow

import (
	"context"

	"arbutusfront.dev/arbutus-agent/backend"
	"arbutusfront.dev/arbutus-agent/caller"
)

// relay copies both directions until both have ended, and then closes both connections. The
// end of one direction is relayed as a FIN; an error resets both connections. Requests wait
// for capacity at the backend server. If ctx is canceled, the connection to the backend server
// is reset.
func (e *Engine) relay(ctx context.Context, f *Flow, c *caller.Conn, s *backend.Conn) {
	x := e.backend.Limiter.NewExchange(backend.WithRequests(
		func() { e.requestArrived(f) }, func() { e.requestAnswered(f) }, func() { e.requestEnded(f) },
	))
	defer x.End()
	// When ctx is canceled, the connection to the backend server is reset. If the caller has
	// already closed its direction, nothing else ends the other one: the backend server
	// may keep it open without limit.
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	uploaded := make(chan error, 1)
	go func() { uploaded <- upload(ctx, c, s, x) }()
	err := s.CopyTo(c, x.Received)
	if err != nil {
		x.ReceiveFailed(err)
	} else {
		err = c.CloseWrite()
	}
	if err != nil {
		c.Abort()
	}
	if err := <-uploaded; err != nil {
		e.metrics.uploadsCut.Inc(1)
	}
	_ = s.Close()
	_ = c.Close()
}

// upload copies what the caller sends to the backend server, and then closes that direction. An
// error resets the connection to the backend server.
func upload(ctx context.Context, c *caller.Conn, s *backend.Conn, x *backend.Exchange) error {
	err := c.CopyTo(x.Writer(ctx, s))
	x.SendingEnded()
	if err == nil {
		err = s.CloseWrite()
	}
	if err != nil {
		s.Abort()
	}
	return err
}
