// Package observe serves the metrics, health, readiness and state dump of a process,
// and bounds the rate of its log.
//
// # Usage
//
//	o := observe.New("balancer")
//	mux.Handle("/", o.Handler(dump, ready))
//	o.Scope.Counter("packets").Inc(1)
//
// The handler serves GET /healthz, GET /readyz (503 with the reason in the body while not
// ready), GET /metrics in the Prometheus text format, and the DumpService.
package observe

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/protocol/gen/arbutus/control/v1/controlv1connect"
)

// reportInterval is how often the metrics scope is flushed to the Prometheus registry.
const reportInterval = time.Second

type (
	// Observer holds the metrics of one process and serves its diagnostic endpoints.
	Observer struct {
		// Scope is the root scope in which the process creates its metrics.
		Scope tally.Scope

		reporter prometheus.Reporter
		close    func() error
	}
)

// New returns an observer, which must be closed. Metric names start with "arbutus_" and the
// program's name.
func New(program string) *Observer {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "arbutus_" + program,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Observer{
		Scope:    scope,
		reporter: reporter,
		close:    closer.Close,
	}
}

// Close flushes the last metric values and stops the reporter.
func (o *Observer) Close() error { return o.close() }

// Handler returns the HTTP handler of the diagnostic endpoints. Dump returns the
// process's state, which is encoded as JSON. Ready returns the reason why the process is
// not ready, or an empty string if it is.
func (o *Observer) Handler(dump func() any, ready func() string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := ready(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	mux.Handle("GET /metrics", o.reporter.HTTPHandler())
	mux.Handle(controlv1connect.NewDumpServiceHandler(dumpServer{dump}))
	return mux
}

// dumpServer implements the DumpService.
type dumpServer struct {
	dump func() any
}

// Dump implements controlv1connect.DumpServiceHandler.
func (s dumpServer) Dump(
	context.Context, *connect.Request[controlv1.DumpRequest],
) (*connect.Response[controlv1.DumpResponse], error) {
	b, err := json.Marshal(s.dump(), jsontext.Multiline(true), json.Deterministic(true))
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&controlv1.DumpResponse{Json: b}), nil
}
