package store

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// TestFormerEraIsRejected guards against a response that is believed although a response of the
// restored store arrived before.
func TestFormerEraIsRejected(t *testing.T) {
	g, e := NewWithT(t), NewEras()
	g.Expect(e.Observe(3)).To(Succeed())
	g.Expect(e.Observe(0)).To(Succeed(), "a response without an era")
	g.Expect(e.Observe(4)).To(Succeed())
	g.Expect(e.Observe(3)).To(MatchError(ErrFormerEra))
	g.Expect(e.Current()).To(Equal(uint64(4)))
}

// TestEraSettlesOnce guards against keys that are taken to be removed while their authors still
// write them again, also after a second restore.
func TestEraSettlesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, e := NewWithT(t), NewEras()
		g.Expect(e.UntilSettled()).To(BeNumerically(">", 0), "no response yet")
		g.Expect(e.Observe(1)).To(Succeed())
		time.Sleep(settleTime)
		g.Expect(e.UntilSettled()).To(BeZero())
		for era := range uint64(2) {
			g.Expect(e.Observe(era + 2)).To(Succeed())
			time.Sleep(settleTime - time.Millisecond)
			g.Expect(e.Observe(era + 2)).To(Succeed())
			g.Expect(e.UntilSettled()).To(Equal(time.Millisecond))
		}
	})
}

// leaseStore is a store of one key and its leases. IDs of leases start again after restore.
type leaseStore struct {
	eras   *Eras
	era    uint64
	key    Entry
	owners map[uint64]string
	// keptAlive counts the renewals by lease.
	keptAlive map[uint64]int
}

func (s *leaseStore) restore() {
	s.era++
	s.owners = make(map[uint64]string)
}

func (s *leaseStore) client(owner string) *Client {
	return &Client{
		Eras: s.eras,
		Get: func(context.Context, string) (Entry, error) {
			return s.key, s.eras.Observe(s.era)
		},
		Grant: func(context.Context, time.Duration) (uint64, error) {
			id := uint64(len(s.owners) + 1)
			s.owners[id] = owner
			return id, s.eras.Observe(s.era)
		},
		KeepAlive: func(_ context.Context, id uint64) (bool, error) {
			s.keptAlive[id]++
			return s.owners[id] != "", s.eras.Observe(s.era)
		},
		CompareAndSwap: func(_ context.Context, w Write) (Swap, error) {
			err := s.eras.Observe(s.era)
			if w.ExpectedVersion != s.key.Version {
				return Swap{Entry: s.key}, err
			}
			s.key = Entry{Key: w.Key, Value: w.Value, Version: s.key.Version + 1}
			return Swap{Swapped: true, Entry: s.key}, err
		},
	}
}

// TestLeaseOfFormerEraIsNotHeld guards against a duty that is performed under a lease which the
// restored store has lost, or has granted to another process under the same ID.
func TestLeaseOfFormerEraIsNotHeld(t *testing.T) {
	g := NewWithT(t)
	s := &leaseStore{eras: NewEras(), era: 1, owners: make(map[uint64]string), keptAlive: make(map[uint64]int)}
	ctx := t.Context()
	l := NewLease(s.client("one"), "key", "one", time.Minute)
	held, err := l.Renew(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(held).To(BeTrue())

	s.restore()
	_, err = s.client("two").Grant(ctx, time.Minute)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.Held()).To(BeFalse())
	held, err = l.Renew(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(held).To(BeTrue(), "the key is still this owner's")
	g.Expect(s.keptAlive).NotTo(HaveKey(uint64(1)), "the lease with the former ID is another process's")

	s.restore()
	s.key.Value, s.key.Version = []byte("two"), s.key.Version+1
	held, err = l.Renew(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(held).To(BeFalse(), "the renewal showed the restore, and another process owns the key")
}
