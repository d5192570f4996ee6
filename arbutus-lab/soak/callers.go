package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"arbutusfront.dev/arbutus-lab/backend"
	"arbutusfront.dev/arbutus-lab/caller"
)

// Outcomes of requests.
const (
	answered outcome = iota + 1
	// refused: the flow was refused, and the request must not have run.
	refused
	// broken: it is unknown whether the request ran.
	broken
	// wrong: the response belongs to another request, or is incomplete.
	wrong
)

const (
	requestTimeout      = 10 * time.Second
	requestsPerLongFlow = 25
	maxBodyBytes        = 1500
	maxAnswerBytes      = 6000
	maxThinkTime        = 40 * time.Millisecond
	refusedPause        = 200 * time.Millisecond

	// Prefixes of the IDs of requests on a flow of their own, and on a long flow.
	freshPrefix = "fresh-"
	longPrefix  = "long-"
)

type (
	outcome int

	// request is one request and its outcome as observed by its caller.
	request struct {
		id         string
		start, end time.Time
		outcome    outcome
		err        error
		// callers are the source addresses of the flows that carried the request, as
		// arbutusctl flow trace takes them. There is one, unless the HTTP client retried by
		// itself.
		callers []string
	}
)

// sendLoad sends requests until ctx is canceled, at random each on its own flow or a series on one
// long flow. It returns when the request in flight has ended.
func (h *harness) sendLoad(ctx context.Context, source *caller.Host, worker int) {
	s := h.cfg.Services[worker%len(h.cfg.Services)]
	address := s.Endpoint().String()
	random := rand.New(rand.NewPCG(h.opts.Seed, uint64(worker)))
	for n := 0; ctx.Err() == nil; {
		keepAlive := random.IntN(2) == 0
		client := source.Client(keepAlive)
		prefix, count := freshPrefix, 1
		if keepAlive {
			prefix, count = longPrefix, requestsPerLongFlow
		}
		for range count {
			if ctx.Err() != nil {
				break
			}
			n++
			r := h.sendRequest(client, address, fmt.Sprintf("%s%d-%d", prefix, worker, n), random)
			h.records.recordRequest(r)
			if r.outcome == refused {
				time.Sleep(refusedPause)
			}
			time.Sleep(time.Duration(random.Int64N(int64(maxThinkTime))))
		}
		client.CloseIdleConnections()
	}
}

// sendRequest sends one request without retrying, and returns it with its outcome.
func (h *harness) sendRequest(client *http.Client, address, id string, random *rand.Rand) request {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	body := make([]byte, random.IntN(maxBodyBytes))
	for i := range body {
		body[i] = byte(random.Uint32())
	}
	size := random.IntN(maxAnswerBytes)
	r := request{id: id, start: time.Now()}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) {
		r.callers = append(r.callers, c.Conn.LocalAddr().String())
	}})
	r.outcome, r.err = roundTrip(ctx, client, fmt.Sprintf("http://%s/?bytes=%d", address, size), id, body, size)
	r.end = time.Now()
	return r
}

// roundTrip sends the request and classifies its outcome. The error is nil only if it was
// answered.
func roundTrip(ctx context.Context, client *http.Client, url, id string, body []byte, size int) (outcome, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return broken, err
	}
	// Without GetBody the client can't replay a non-empty body, so it doesn't retry by itself.
	r.GetBody = nil
	r.Header.Set(backend.HeaderRequest, id)
	response, err := client.Do(r)
	if err != nil {
		if caller.IsRefused(err) {
			return refused, err
		}
		return broken, err
	}
	n, err := io.Copy(io.Discard, response.Body)
	if err := errors.Join(err, response.Body.Close()); err != nil {
		return broken, err
	}
	switch {
	case response.StatusCode != http.StatusOK:
		return broken, fmt.Errorf("status %s", response.Status)
	case n != int64(size):
		return wrong, fmt.Errorf("got %d bytes of %d in a complete response", n, size)
	case response.Header.Get(backend.HeaderDigest) != backend.Digest(id, body):
		return wrong, caller.ErrWrongAnswer
	default:
		return answered, nil
	}
}

func isFresh(id string) bool { return strings.HasPrefix(id, freshPrefix) }
