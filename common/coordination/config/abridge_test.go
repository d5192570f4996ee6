package config

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
)

const (
	fleetServices = 8400
	// headBound is how many bytes a balancer may exchange to get the head after a change
	// of one service: a tenth of its budget of 11 KB/s for control traffic, at 5,000
	// changes a day.
	headBound = 11_000 / 10 * 86_400 / 5_000
)

// nextRevision returns the revision after base, with n services of which the last one has
// the given port.
func nextRevision(g *WithT, base *Revision, n int, port uint16) *Revision {
	cfg := Config{Deployment: Deployment{Name: "fleet"}}
	for i := range n {
		cfg.Services = append(cfg.Services, Service{Name: fmt.Sprintf("service-%d", i), Port: 80})
	}
	cfg.Services[n-1].Port = port
	chunks, err := Split(cfg)
	g.Expect(err).NotTo(HaveOccurred())
	var head *controlv1.Head
	if base != nil {
		head = base.Head
	}
	accepted := &controlv1.Accepted{ApplyId: fmt.Sprintf("apply %d", port), Author: "ana", Summary: "1 service changed"}
	values := make([][]byte, 0, len(chunks))
	for _, c := range chunks {
		values = append(values, c.Value)
	}
	r, err := Assemble(NewHead(head, chunks, accepted), values)
	g.Expect(err).NotTo(HaveOccurred())
	return r
}

// TestHeadAfterOneChange guards against control traffic that grows with the number of
// services: after a change of one service, a balancer that has the previous revision must
// be able to restore the whole head from a small response.
func TestHeadAfterOneChange(t *testing.T) {
	g := NewWithT(t)
	var r *Revision
	for i := range historyLength + 5 {
		r = nextRevision(g, r, 1, uint16(81+i))
	}
	r = nextRevision(g, r, fleetServices, 8079)
	next := nextRevision(g, r, fleetServices, 8080)
	request := r.HeadRequest()
	response := next.HeadResponse(request)
	t.Logf(
		"request %d, response %d, whole head %d bytes",
		proto.Size(request), proto.Size(response), proto.Size(next.Head),
	)
	g.Expect(proto.Size(request) + proto.Size(response)).To(BeNumerically("<=", headBound))
	head, err := r.RestoreHead(response)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(proto.Equal(head, next.Head)).To(BeTrue())
}

// TestRestoreHead guards against a head that is restored wrongly from an abridged response,
// whatever revision the process knows and whether the number of chunks grew, shrank or
// stayed the same.
func TestRestoreHead(t *testing.T) {
	g := NewWithT(t)
	first := nextRevision(g, nil, 100, 81)
	second := nextRevision(g, first, 100, 82)
	third := nextRevision(g, second, 100, 83)
	larger := nextRevision(g, third, 3000, 84)
	smaller := nextRevision(g, larger, 40, 85)
	for _, test := range []struct {
		name          string
		known, latest *Revision
	}{
		{"no known revision", nil, second},
		{"the same revision", second, second},
		{"one change", first, second},
		{"two changes", first, third},
		{"more chunks", third, larger},
		{"fewer chunks", larger, smaller},
		{"a missed change, then more chunks", second, larger},
		{"an earlier revision", third, second},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			head, err := test.known.RestoreHead(test.latest.HeadResponse(test.known.HeadRequest()))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(head.GetChunks()).To(HaveLen(len(test.latest.Head.GetChunks())))
			g.Expect(head.GetDigest()).To(Equal(test.latest.Head.GetDigest()))
			if test.latest.Number() >= test.known.Number() {
				g.Expect(proto.Equal(head, test.latest.Head)).To(BeTrue())
			}
		})
	}
	t.Run("a response to another request", func(t *testing.T) {
		g := NewWithT(t)
		_, err := first.RestoreHead(nextRevision(g, larger, 3000, 86).HeadResponse(larger.HeadRequest()))
		g.Expect(err).To(MatchError(ContainSubstring("does not match revision 1")))
		_, err = (*Revision)(nil).RestoreHead(third.HeadResponse(second.HeadRequest()))
		g.Expect(err).To(MatchError(ContainSubstring("needs a known revision")))
	})
}
