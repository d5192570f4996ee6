package peer

import (
	"testing"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/common/coordination/config"
)

// TestViewKeepsVersion guards against an agent that gets a view without the version of the
// configuration, and so takes it for an old one.
func TestViewKeepsVersion(t *testing.T) {
	g := NewWithT(t)
	want := View{
		Revision: config.Order{Version: 2026120501, Number: 40},
		Config:   config.View{Service: config.Service{Name: "desk"}},
	}
	m, err := want.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	got, err := decodeView(m)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got.Revision).To(Equal(want.Revision))
}
