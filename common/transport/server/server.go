// Package server runs the HTTP server of a process, which serves connect-go services,
// metrics, health and readiness on one address.
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
	// headerTimeout bounds the time to read the header of a request.
	headerTimeout = 5 * time.Second
	// shutdownTimeout is how long requests in flight may take to complete during
	// shutdown. They usually take milliseconds, whereas http.Server.Shutdown waits up
	// to a second for idle HTTP/2 connections.
	shutdownTimeout = 250 * time.Millisecond
)

// Run serves HTTP/1.1 and unencrypted HTTP/2 on l until ctx is canceled. It then shuts
// down gracefully for at most shutdownTimeout and closes the remaining connections. The
// channel receives one value: nil after a shutdown, or the error that ended the server.
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
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if err := s.Shutdown(shutdownCtx); err != nil {
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
