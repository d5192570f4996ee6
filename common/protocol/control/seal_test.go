package control

import (
	"testing"

	. "github.com/onsi/gomega"

	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
)

func sampleDatagram() *controlv1.Datagram {
	return &controlv1.Datagram{Body: &controlv1.Datagram_Inquiry{Inquiry: &controlv1.Inquiry{Member: "desk-1"}}}
}

// TestSealAndOpen guards against forged messages: Open must reject a message that was
// sealed with another secret, altered or truncated, and NewKey a secret that is too short.
func TestSealAndOpen(t *testing.T) {
	g := NewWithT(t)
	key, err := NewKey("a secret of sixteen bytes or more")
	g.Expect(err).NotTo(HaveOccurred())
	other, err := NewKey("another secret of that length")
	g.Expect(err).NotTo(HaveOccurred())
	b, err := key.Seal(sampleDatagram())
	g.Expect(err).NotTo(HaveOccurred())
	m, err := key.Open(b)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(m.GetInquiry().GetMember()).To(Equal("desk-1"))

	_, err = other.Open(b)
	g.Expect(err).To(MatchError(ErrForged))
	b[len(b)-1] ^= 1
	_, err = key.Open(b)
	g.Expect(err).To(MatchError(ErrForged))
	_, err = key.Open(b[:5])
	g.Expect(err).To(MatchError("control: short message of 5 bytes"))
	_, err = NewKey("short")
	g.Expect(err).To(MatchError("control: secret of 5 bytes is shorter than 16"))
}

func FuzzOpen(f *testing.F) {
	key, err := NewKey("a secret of sixteen bytes or more")
	if err != nil {
		f.Fatal(err)
	}
	b, err := key.Seal(sampleDatagram())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		// The second call has a valid authentication code, so that it reaches the
		// decoder.
		_, _ = key.Open(b)
		_, _ = key.Open(append(key.MAC(b), b...))
	})
}
