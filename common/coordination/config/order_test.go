package config

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestOrderPrefersVersion guards against a configuration that replaces a later version because
// the store's counter of changes fell back.
func TestOrderPrefersVersion(t *testing.T) {
	g := NewWithT(t)
	ascending := []Order{
		{Version: 7},
		{Version: 7, Change: 3},
		{Version: 7, Change: maxChange},
		{Version: 9, Change: 2},
		{Version: maxVersion},
	}
	var last uint64
	for _, o := range ascending {
		n, err := o.Number()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n).To(BeNumerically(">", last))
		g.Expect(OrderOf(n)).To(Equal(o))
		last = n
	}
	for _, o := range []Order{{Version: maxVersion + 1}, {Change: maxChange + 1}} {
		_, err := o.Number()
		g.Expect(err).To(MatchError(ContainSubstring("exceeds the largest")))
	}
}
