// Package standin is the command that runs a stand-in for the platform's store, the
// fabric or a backend server as a process.
//
// # Usage
//
//	arbutus-lab serve store -listen 127.0.0.1:7700
//	arbutus-lab serve fabric -entry 127.0.0.1:7710 -return 127.0.0.1:7711 -listen 127.0.0.1:7712
//	arbutus-lab serve backend -name desk-1 -listen 127.0.0.1:8001
package standin

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/google/subcommands"

	"arbutusfront.dev/arbutus-lab/backend"
	"arbutusfront.dev/arbutus-lab/fabric"
	"arbutusfront.dev/arbutus-lab/store"
	"arbutusfront.dev/common/command"
	"arbutusfront.dev/common/transport/network"
	"arbutusfront.dev/common/transport/server"
)

// Kinds of stand-ins, as given on the command line.
const (
	KindStore   = "store"
	KindFabric  = "fabric"
	KindBackend = "backend"
)

type (
	// Options holds what Run needs: the values from the command line and the network.
	Options struct {
		// Kind is KindStore, KindFabric or KindBackend.
		Kind string
		// Name is the name of the backend server.
		Name string
		// Listen is the HTTP address. In pass-through mode, the backend server also
		// receives packets at its UDP port.
		Listen netip.AddrPort
		// Entry and Return are the fabric's UDP addresses for callers and for agents.
		Entry  netip.AddrPort
		Return netip.AddrPort
		// Outbound and Agent are the agent's UDP and control addresses, which are set
		// for a backend server in pass-through mode.
		Outbound netip.AddrPort
		Agent    netip.AddrPort
		// Slots is the number of requests that the backend server runs at once, Work how
		// long each occupies its slot.
		Slots int
		Work  time.Duration
		// Fault is the fault that the backend server injects, or empty.
		Fault backend.Fault
		// Seed is that of the fabric's choice of balancers.
		Seed uint64
		// Delay is how long packets take between callers and the fabric.
		Delay   time.Duration
		Network network.Network
	}

	// Command runs a stand-in.
	Command struct {
		streams command.Streams
		run     func(context.Context, *Options) error
		opts    Options
	}
)

// New returns the command, which runs run, or Run if that is nil.
func New(s command.Streams, run func(context.Context, *Options) error) *Command {
	if run == nil {
		run = Run
	}
	return &Command{streams: s, run: run}
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "run a stand-in until SIGTERM" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `arbutus-lab serve store|fabric|backend [flags]

Run a stand-in for the platform's store, the fabric, or a backend server.

Examples:
  arbutus-lab serve store -listen 127.0.0.1:7700
  arbutus-lab serve fabric -entry 127.0.0.1:7710 -return 127.0.0.1:7711 -listen 127.0.0.1:7712
  arbutus-lab serve backend -name desk-1 -listen 127.0.0.1:8001

`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.opts.Name, "name", "backend", "the backend server's `name`")
	f.IntVar(&c.opts.Slots, "slots", 4, "`requests` that the backend server runs at once")
	f.DurationVar(&c.opts.Work, "work", 0, "`time` that a request occupies its slot")
	f.StringVar((*string)(&c.opts.Fault), "mischief", "",
		"`fault` that the backend server injects, to test invariant checks: wrong_answer or run_twice")
	f.DurationVar(&c.opts.Delay, "delay", 0, "`time` that packets take between callers and the fabric")
	f.Uint64Var(&c.opts.Seed, "seed", 1, "`seed` of the fabric's random choice of balancers")
	f.TextVar(&c.opts.Listen, "listen", netip.AddrPort{}, "HTTP `address`; with -outbound also the UDP address")
	f.TextVar(&c.opts.Entry, "entry", netip.AddrPort{}, "the fabric's UDP `address` for callers")
	f.TextVar(&c.opts.Outbound, "outbound", netip.AddrPort{},
		"UDP `address` of the agent; sets pass-through mode, in which the backend server terminates TCP")
	f.TextVar(&c.opts.Agent, "agent", netip.AddrPort{}, "the agent's control `address`, needed with -outbound")
	f.TextVar(&c.opts.Return, "return", netip.AddrPort{}, "the fabric's UDP `address` for agents")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := command.Positionals(f)
	if err == nil {
		err = c.serve(ctx, args)
	}
	return command.Report(c.streams, err)
}

// serve checks the arguments and runs the stand-in.
func (c *Command) serve(ctx context.Context, args []string) error {
	if len(args) != 1 || !c.opts.Listen.IsValid() {
		return command.Usagef("serve needs store, fabric or backend, and -listen; see arbutus-lab help serve")
	}
	opts := c.opts
	opts.Kind = args[0]
	opts.Network = network.System()
	return c.run(ctx, &opts)
}

// Run runs the stand-in until ctx is canceled. An unknown kind is a usage error.
func Run(ctx context.Context, opts *Options) error {
	switch opts.Kind {
	case KindStore:
		return opts.serveStore(ctx)
	case KindFabric:
		return opts.serveFabric(ctx)
	case KindBackend:
		b := backend.New(
			opts.Name, backend.WithSlots(opts.Slots), backend.WithWork(opts.Work), backend.WithFault(opts.Fault),
		)
		mux := http.NewServeMux()
		mux.Handle("/", b)
		mux.HandleFunc("GET /ran", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, b.Runs()) })
		mux.HandleFunc("GET /hosts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, b.Hosts()) })
		if opts.Outbound.IsValid() {
			return opts.serveFlows(ctx, b, mux)
		}
		return opts.serveHTTP(ctx, mux)
	default:
		return command.Usagef("unknown stand-in %q; use store, fabric or backend", opts.Kind)
	}
}

// serveFlows serves a backend server in pass-through mode: h serves requests on the
// callers' flows and on the HTTP address, and the agent gets announcements.
func (o *Options) serveFlows(ctx context.Context, b *backend.Server, h http.Handler) error {
	socket, err := o.Network.ListenPacket(o.Listen)
	if err != nil {
		return err
	}
	flows, err := backend.NewFlows(socket, o.Outbound)
	if err != nil {
		return errors.Join(err, socket.Close())
	}
	done := flows.Run(ctx, h)
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		b.Announce(ctx, o.Network.HTTP1Client(), o.Agent)
	}()
	err = o.serveHTTP(ctx, h)
	<-announced
	return errors.Join(err, <-done)
}

// serveStore serves the store, and the endpoints that set its faults, restore it from a copy and
// count its calls.
func (o *Options) serveStore(ctx context.Context) error {
	s := store.New()
	copies := store.NewCopies(s)
	done := copies.Run(ctx)
	mux := http.NewServeMux()
	mux.Handle(s.Handler())
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var f store.Faults
		if readJSON(w, r, &f) {
			s.SetFaults(f)
		}
	})
	mux.HandleFunc("POST /restore", func(w http.ResponseWriter, r *http.Request) {
		var request struct {
			AgeMillis int64 `json:"age_millis"`
		}
		if readJSON(w, r, &request) {
			copies.Restore(time.Duration(request.AgeMillis) * time.Millisecond)
		}
	})
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Calls()) })
	return errors.Join(o.serveHTTP(ctx, mux), <-done)
}

// serveFabric serves the fabric, and the endpoints that set its balancers and count the
// ready ones.
func (o *Options) serveFabric(ctx context.Context) error {
	entrySocket, err := o.Network.ListenPacket(o.Entry)
	if err != nil {
		return err
	}
	returnSocket, err := o.Network.ListenPacket(o.Return)
	if err != nil {
		return errors.Join(err, entrySocket.Close())
	}
	f := fabric.New(entrySocket, returnSocket, o.Network.HTTP1Client(), fabric.WithSeed(o.Seed), fabric.WithDelay(o.Delay))
	done := f.Run(ctx)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /balancers", func(w http.ResponseWriter, r *http.Request) {
		var balancers []fabric.Balancer
		if readJSON(w, r, &balancers) {
			f.SetBalancers(balancers)
		}
	})
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, f.ReadyCount()) })
	return errors.Join(o.serveHTTP(ctx, mux), <-done)
}

// serveHTTP serves h at the HTTP address until ctx is canceled.
func (o *Options) serveHTTP(ctx context.Context, h http.Handler) error {
	l, err := o.Network.Listen(o.Listen)
	if err != nil {
		return err
	}
	return <-server.Run(ctx, l, h)
}
