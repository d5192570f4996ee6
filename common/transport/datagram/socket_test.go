package datagram_test

import (
	"errors"
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/common/transport/datagram"
)

// TestServe guards against datagrams of a batch that are not handled, and against a closed
// socket that is reported as an error or a failed one that is not.
func TestServe(t *testing.T) {
	errBroken := errors.New("broken")
	for name, c := range map[string]struct{ end, want error }{
		"closed": {end: net.ErrClosed},
		"fails":  {end: errBroken, want: errBroken},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			batches := [][]string{{"a", "b"}, {"c"}}
			s := &datagram.Socket{ReadBatch: func(batch []datagram.Message) (int, error) {
				if len(batches) == 0 {
					return 0, c.end
				}
				next := batches[0]
				batches = batches[1:]
				for i, text := range next {
					batch[i].N = copy(batch[i].Buffer, text)
				}
				return len(next), nil
			}}
			var got []string
			err := s.Serve(func(m *datagram.Message) { got = append(got, string(m.Bytes())) })
			g.Expect(got).To(Equal([]string{"a", "b", "c"}))
			if c.want == nil {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(err).To(MatchError(c.want))
		})
	}
}
