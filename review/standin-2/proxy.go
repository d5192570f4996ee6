package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// keepAliveTime is how long the programs' TCP keep-alive takes to end a silent connection: a probe
// after 1 s without data, and two more seconds without an answer. The kernel answers these probes in
// the proxy's place, so the proxy closes silent connections itself after this time.
const keepAliveTime = 3 * time.Second

// proxy passes TCP connections on. silence makes all open ones silent for good, while new ones
// work.
type proxy struct {
	to string

	mu   sync.Mutex
	open []*proxied
}

type proxied struct {
	silent         atomic.Bool
	client, server net.Conn
}

func newProxy(l net.Listener, to string) *proxy {
	p := &proxy{to: to}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &proxied{client: client, server: server}
	p.mu.Lock()
	p.open = append(p.open, c)
	p.mu.Unlock()
	go c.copy(server, client)
	c.copy(client, server)
}

// copy passes data on until the connection is silent: then data is read and dropped.
func (c *proxied) copy(to, from net.Conn) {
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		if n > 0 && !c.silent.Load() {
			if _, err := to.Write(b[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	if !c.silent.Load() {
		c.close()
	}
}

func (c *proxied) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}

// silence makes all open connections silent, and closes them after keepAliveTime. It returns their
// number.
func (p *proxy) silence() int {
	p.mu.Lock()
	silent := p.open
	p.open = nil
	p.mu.Unlock()
	for _, c := range silent {
		c.silent.Store(true)
	}
	time.AfterFunc(keepAliveTime, func() {
		for _, c := range silent {
			c.close()
		}
	})
	return len(silent)
}
