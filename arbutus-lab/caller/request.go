package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"time"

	"github.com/google/uuid"

	"arbutusfront.dev/arbutus-lab/backend"
)

const (
	// maxRetries is how often a refused request is retried, initialBackoff the mean backoff
	// before the first retry.
	maxRetries     = 8
	initialBackoff = 100 * time.Millisecond
)

// ErrWrongAnswer is returned for an answer whose digest is not that of the request.
var ErrWrongAnswer = errors.New("the answer's digest is not that of the request")

// Request is an HTTP request to a service.
type Request struct {
	Service netip.AddrPort
	Body    []byte
	// AnswerBytes is the size of the answer that is requested.
	AnswerBytes int
}

// Do sends the request and checks that the answer is complete and has the request's
// digest. A request whose flow was refused has not run, so it is retried after a backoff
// with jitter. After any other error it may have run, and is not retried.
func Do(ctx context.Context, client *http.Client, q Request) error {
	for attempt := 0; ; attempt++ {
		err := send(ctx, client, q)
		if err == nil || !IsRefused(err) || attempt == maxRetries {
			return err
		}
		backoff := initialBackoff << min(attempt, 4)
		select {
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		case <-time.After(backoff/2 + rand.N(backoff)):
		}
	}
}

// IsRefused reports whether err means that the flow was refused, in which case no backend
// server has run the request.
func IsRefused(err error) bool {
	// The user-space TCP stack exports no error value for a refused connection.
	return errors.Is(err, syscall.ECONNREFUSED) || strings.Contains(err.Error(), "connection was refused")
}

// send sends the request once, with a new ID, and checks the answer.
func send(ctx context.Context, client *http.Client, q Request) error {
	id := uuid.NewString()
	url := fmt.Sprintf("http://%s/?bytes=%d", q.Service, q.AnswerBytes)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(q.Body))
	if err != nil {
		return err
	}
	// Without GetBody the HTTP client can't replay a non-empty body, so it doesn't retry the
	// request by itself.
	r.GetBody = nil
	r.Header.Set(backend.HeaderRequest, id)
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if err := errors.Join(err, resp.Body.Close()); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || n != int64(q.AnswerBytes) {
		return fmt.Errorf("answer has status %s and %d bytes of %d", resp.Status, n, q.AnswerBytes)
	}
	if resp.Header.Get(backend.HeaderDigest) != backend.Digest(id, q.Body) {
		return ErrWrongAnswer
	}
	return nil
}
