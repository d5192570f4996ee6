package sessions

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/arbutus-lab/backend"
	"arbutusfront.dev/common/coordination/config"
)

// service returns the endpoint of a service of the Phellos deployment.
func (w *deployment) service(name string) netip.AddrPort {
	cfg, problems := config.LoadDirectory("../../examples/phellos")
	w.g.Expect(problems).To(BeEmpty())
	s, ok := cfg.Service(name)
	w.g.Expect(ok).To(BeTrue())
	return s.Endpoint()
}

// client returns an HTTP client over the minimal TCP, with a flow for each request unless
// keepAlive is set.
func (w *deployment) client(keepAlive bool) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: !keepAlive,
		DialContext: func(_ context.Context, _, to string) (net.Conn, error) {
			service, err := netip.ParseAddrPort(to)
			if err != nil {
				return nil, err
			}
			return w.caller.dial(service)
		},
	}}
}

// openStream opens a long-lived flow to the service.
func (w *deployment) openStream(service netip.AddrPort, id string) (*stream, error) {
	return w.openStreamAt(service, id, backend.PathStream)
}

// openStreamAt opens a flow, sends a request with the ID for the path, and returns the
// response as a stream.
func (w *deployment) openStreamAt(service netip.AddrPort, id, path string) (*stream, error) {
	return openStreamWith(w.client(false), service, id, path)
}

// openStreamFrom opens a long-lived flow from the caller's port.
func (w *deployment) openStreamFrom(port uint16, service netip.AddrPort) (*stream, error) {
	client := &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			return w.caller.dialFrom(port, service, w.caller.send)
		},
	}}
	return openStreamWith(client, service, fmt.Sprintf("port %d", port), backend.PathStream)
}

// openStreamWith sends a request with the ID through the client, and returns the response
// as a stream. Its body is read in the background until it ends.
func openStreamWith(client *http.Client, service netip.AddrPort, id, path string) (*stream, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+service.String()+path, nil)
	if err != nil {
		return nil, err
	}
	r.Header.Set(backend.HeaderRequest, id)
	resp, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	s := &stream{server: resp.Header.Get(backend.HeaderServer), body: resp.Body, end: make(chan error, 1)}
	go func() {
		_, err := io.Copy(io.Discard, resp.Body)
		if err == nil {
			err = io.EOF
		}
		s.end <- err
	}()
	return s, nil
}

// endError returns the error that ended the stream, io.EOF for its regular end, or nil while it
// is open.
func (s *stream) endError() error {
	select {
	case err := <-s.end:
		s.end <- err
		return err
	default:
		return nil
	}
}

// close drops the callers' connections, stops the network and all processes, and lets an
// hour of virtual time pass, so that every goroutine of the bubble ends.
func (w *deployment) close() {
	w.caller.dropAll()
	w.network.Close()
	w.mu.Lock()
	processes := w.running
	w.mu.Unlock()
	for _, r := range processes {
		r.cancel()
	}
	for _, r := range processes {
		if err := <-r.done; err != nil && !errors.Is(err, net.ErrClosed) {
			w.t.Logf("process ended: %v", err)
		}
	}
	http.DefaultClient.CloseIdleConnections()
	time.Sleep(time.Hour)
	synctest.Wait()
}
