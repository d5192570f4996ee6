// Package server runs a process's HTTP endpoint: connect-go services, metrics,
// health and readiness on one address.
//
// # Usage
//
//	done := server.Run(ctx, listener, handler)
//	...
//	err := <-done
package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

const (
	headerTimeout = 5 * time.Second
	// shutdownTimeout is how long calls in flight may take at the end. They take
	// milliseconds; idle HTTP/2 connections would take a second to end by themselves.
	shutdownTimeout = 250 * time.Millisecond
)

// Run serves HTTP/1.1 and unencrypted HTTP/2 until ctx ends, then shuts down
// gracefully and reports the end on the channel.
func Run(ctx context.Context, l net.Listener, h http.Handler) <-chan error {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &http.Server{Handler: h, Protocols: protocols, ReadHeaderTimeout: headerTimeout}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	done := make(chan error, 1)
	go func() {
		select {
		case err := <-served:
			done <- err
			return
		case <-ctx.Done():
		}
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if err := s.Shutdown(stop); err != nil {
			_ = s.Close()
		}
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			done <- err
			return
		}
		done <- nil
	}()
	return done
}
