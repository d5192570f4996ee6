package sessions

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/arbutus-lab/store"
	"arbutusfront.dev/arbutusctl/session"
	"arbutusfront.dev/common/coordination/config"
	kvstore "arbutusfront.dev/common/coordination/store"
)

// maxCopyAge is the age of the copies that TestRestoreHistory restores the store from.
const maxCopyAge = 10 * time.Second

var errResponseLost = errors.New("the response is lost")

// storedRevision returns the revision that the store has.
func (w *deployment) storedRevision() *config.Revision {
	r, err := config.NewApplier(directClient(w.store)).Read(context.Background())
	w.must(err)
	return r
}

func (w *deployment) drain(server string) {
	w.t.Helper()
	code, out := w.ctl("server", "drain", server, "--wait")
	w.g.Expect(code).To(Equal(0), out)
}

// expectDrained expects all processes to have the store's revision in force, and exactly the
// servers to be drained in it.
func (w *deployment) expectDrained(servers ...string) {
	w.t.Helper()
	inForce := w.waitUntil(2*inForceBound, func() bool {
		r := w.storedRevision()
		for _, n := range w.revisions(phellosProcesses()) {
			if n != r.Number() {
				return false
			}
		}
		return true
	})
	w.g.Expect(inForce).To(BeTrue())
	w.g.Expect(w.storedRevision().Config.Drained).To(ConsistOf(servers))
}

// TestAcceptedRevisionsSurviveRestore guards against accepted changes that are lost, and later
// ones that are ignored as old, when the store is restored from a backup that lacks them.
func TestAcceptedRevisionsSurviveRestore(t *testing.T) {
	runSession(t, 40, func(w *deployment) {
		w.startPhellos()
		w.drain("contract-desk-1")
		backup := w.store.Backup()
		w.drain("contract-desk-2")
		w.drain("contract-desk-3")
		w.store.Restore(backup)
		time.Sleep(inForceBound)
		w.expectDrained("contract-desk-1", "contract-desk-2", "contract-desk-3")
		w.drain("contract-desk-4")
		w.expectDrained("contract-desk-1", "contract-desk-2", "contract-desk-3", "contract-desk-4")
	})
}

// TestApplyRightAfterRestore guards against an apply that takes what the restored store has for
// the configuration in force, before a balancer has written back what is missing there.
func TestApplyRightAfterRestore(t *testing.T) {
	runSession(t, 41, func(w *deployment) {
		w.startPhellos()
		w.drain("contract-desk-1")
		backup := w.store.Backup()
		w.drain("contract-desk-2")
		w.store.Restore(backup)
		w.drain("contract-desk-3")
		w.expectDrained("contract-desk-1", "contract-desk-2", "contract-desk-3")

		w.store.Restore(backup)
		isOperator := func(a netip.Addr) bool { return w.domains[a] == "" && a != storeHost }
		heal := w.cut(func(from, to netip.Addr) bool {
			return isOperator(from) && w.domains[to] != "" || isOperator(to) && w.domains[from] != ""
		})
		before := w.storedRevision().Number()
		code, out := w.ctl("server", "drain", "contract-desk-4")
		w.g.Expect(code).NotTo(Equal(0), "no balancer can be asked whether a later revision is in force")
		w.g.Expect(out).To(ContainSubstring("the store was restored"))
		w.g.Expect(before).To(BeNumerically("<", 4))
		heal()
		w.drain("contract-desk-4")
		w.expectDrained("contract-desk-1", "contract-desk-2", "contract-desk-3", "contract-desk-4")
	})
}

// drainingApply applies a proposal that drains a server with the name of its ID.
func drainingApply(t *testing.T, c *kvstore.Client, id string) config.Outcome {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), session.ApplyTimeout)
	defer cancel()
	return config.NewApplier(c).Apply(ctx, config.Proposal{
		ID: id, Author: id,
		Change: func(r *config.Revision) (config.Config, error) {
			cfg := sampleConfig("sample")
			if r != nil {
				cfg = r.Config
			}
			cfg.Drained = append(append([]string{}, cfg.Drained...), id)
			return cfg, nil
		},
	})
}

// TestRestoreDuringApply guards against an apply that overwrites another one: it repeats its
// compare-and-swap after a lost response, and the restored store has assigned the expected
// version again.
func TestRestoreDuringApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, s := NewWithT(t), store.New()
		direct := directClient(s)
		g.Expect(drainingApply(t, direct, "first").Result).To(Equal(config.Accepted))
		backup := s.Backup()
		g.Expect(drainingApply(t, direct, "lost").Result).To(Equal(config.Accepted))
		late := *direct
		lost := false
		late.CompareAndSwap = func(ctx context.Context, w kvstore.Write) (kvstore.Swap, error) {
			if w.Key != kvstore.KeyHead || lost {
				return direct.CompareAndSwap(ctx, w)
			}
			lost = true
			s.Restore(backup)
			g.Expect(drainingApply(t, directClient(s), "other").Result).To(Equal(config.Accepted))
			head, err := directClient(s).Get(ctx, kvstore.KeyHead)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(head.Version).To(Equal(w.ExpectedVersion), "the version is assigned again")
			return kvstore.Swap{}, errResponseLost
		}
		g.Expect(drainingApply(t, &late, "late").Result).To(Equal(config.Accepted))
		r, err := config.NewApplier(direct).Read(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.Config.Drained).To(ConsistOf("sample", "first", "other", "late"))
	})
}

// TestRestoreBetweenChunksAndHead guards against a head that nobody can read: the store is
// restored after an apply has written its chunks, which are lost, and before it writes the head,
// whose expected version the copy has.
func TestRestoreBetweenChunksAndHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, s := NewWithT(t), store.New()
		direct := directClient(s)
		g.Expect(drainingApply(t, direct, "first").Result).To(Equal(config.Accepted))
		backup := s.Backup()
		client := *direct
		isRestored := false
		client.CompareAndSwap = func(ctx context.Context, w kvstore.Write) (kvstore.Swap, error) {
			if w.Key == kvstore.KeyHead && !isRestored {
				isRestored = true
				s.Restore(backup)
			}
			return direct.CompareAndSwap(ctx, w)
		}
		g.Expect(drainingApply(t, &client, "second").Result).To(Equal(config.Accepted))
		r, err := config.NewApplier(direct).Read(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.Config.Drained).To(ConsistOf("sample", "first", "second"))
	})
}

// TestRestoreHistory guards against accepted changes that are lost, and processes that go back
// to an older revision, in random histories of applies, restores of the store, balancers that
// are killed and balancers that are cut off from the store.
func TestRestoreHistory(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			runSession(t, 50+seed, func(w *deployment) {
				w.startPhellos()
				(&restoreHistory{w: w, rng: rand.New(rand.NewPCG(seed, 0)), highest: make(map[string]uint64)}).run()
			})
		})
	}
}

// restoreHistory is a random history. drained has the servers whose drain was accepted, backups
// the latest copies of the store, highest each process's latest revision.
type restoreHistory struct {
	w       *deployment
	rng     *rand.Rand
	drained []string
	backups []store.Backup
	highest map[string]uint64
}

func (h *restoreHistory) run() {
	heal := func() {}
	for range 40 {
		h.backups = append(h.backups, h.w.store.Backup())
		h.backups = h.backups[max(0, len(h.backups)-int(maxCopyAge/time.Second)):]
		switch h.rng.IntN(6) {
		case 0:
			h.w.store.Restore(h.backups[h.rng.IntN(len(h.backups))])
		case 1:
			heal()
			balancer := h.w.address(fmt.Sprintf("balancer-%d", 1+h.rng.IntN(3)), 0).Addr()
			heal = h.w.cut(func(from, to netip.Addr) bool {
				return from == balancer && to == storeHost || from == storeHost && to == balancer
			})
		case 2:
			name := fmt.Sprintf("balancer-%d", 1+h.rng.IntN(3))
			h.w.kill(name)
			time.Sleep(time.Second)
			h.w.restart(name)
			delete(h.highest, name)
			time.Sleep(2 * time.Second)
		default:
			h.toggle(phellosProcesses()[3+h.rng.IntN(10)])
		}
		time.Sleep(time.Second)
		h.expectNoneOlder()
	}
	heal()
	h.w.expectDrained(h.drained...)
}

// toggle drains the server, or ends its drain.
func (h *restoreHistory) toggle(server string) {
	verb, drained := "drain", append([]string{server}, h.drained...)
	for i, d := range h.drained {
		if d == server {
			verb, drained = "undrain", append(append([]string{}, h.drained[:i]...), h.drained[i+1:]...)
		}
	}
	code, out := h.w.ctl("server", verb, server)
	h.w.g.Expect(code).To(Equal(0), out)
	h.drained = drained
}

func (h *restoreHistory) expectNoneOlder() {
	names := phellosProcesses()
	for i, n := range h.w.revisions(names) {
		h.w.g.Expect(n).To(BeNumerically(">=", h.highest[names[i]]), names[i])
		h.highest[names[i]] = n
	}
}
