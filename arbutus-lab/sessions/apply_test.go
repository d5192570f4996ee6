package sessions

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"arbutusfront.dev/arbutus-lab/store"
	"arbutusfront.dev/common/coordination/config"
	kvstore "arbutusfront.dev/common/coordination/store"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
)

const (
	// applyTimeout bounds an apply while the store is down. TestApplyHistory runs in real
	// time, so it is short.
	applyTimeout = 100 * time.Millisecond
	// followerCount is the number of processes that follow the store.
	followerCount = 3
)

// reportedOutcomes records the outcome that each apply reported, by apply ID. accepted has the
// revision. notAccepted also contains applies that changed nothing.
type reportedOutcomes struct {
	mu          sync.Mutex
	accepted    map[string]uint64
	notAccepted map[string]bool
	unknown     map[string]bool
}

func (h *reportedOutcomes) record(id string, o config.Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch o.Result {
	case config.Accepted:
		h.accepted[id] = o.Revision
	case config.Unknown:
		h.unknown[id] = true
	case config.Conflict, config.NotAccepted, config.Unchanged:
		h.notAccepted[id] = true
	}
}

// check compares the reported outcomes with the final head of the store. Each accepted
// apply must have a revision of its own, which the head has too. Each apply in the head must
// have been reported as accepted or unknown.
func (h *reportedOutcomes) check(t *rapid.T, head *controlv1.Head) {
	inHead := make(map[string]uint64)
	for _, a := range append([]*controlv1.Accepted{head.GetAccepted()}, head.GetHistory()...) {
		if a != nil {
			inHead[a.GetApplyId()] = a.GetRevision()
		}
	}
	byRevision := make(map[uint64]string)
	for id, revision := range h.accepted {
		if other, duplicate := byRevision[revision]; duplicate {
			t.Fatalf("revision %d was accepted for %s and %s", revision, id, other)
		}
		byRevision[revision] = id
		if inHead[id] != revision {
			t.Fatalf("%s was accepted as revision %d, the store has it as %d (0: not at all)", id, revision, inHead[id])
		}
	}
	for id, revision := range inHead {
		if h.notAccepted[id] {
			t.Fatalf("%s was refused, the store has it as revision %d", id, revision)
		}
		if h.accepted[id] == 0 && !h.unknown[id] {
			t.Fatalf("the store has %s, which was reported neither accepted nor unknown", id)
		}
	}
}

// TestApplyHistory guards against applies whose reported outcome differs from what the
// store has, and against processes whose revision goes back. Random sequences of concurrent
// applies run against a store that loses responses, serves stale reads or is down, while
// processes read the store, pause, or restart from a peer's revision.
func TestApplyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := store.New()
		h := &reportedOutcomes{
			accepted: make(map[string]uint64), notAccepted: make(map[string]bool), unknown: make(map[string]bool),
		}
		followers := make([]*config.RevisionHolder, followerCount)
		for i := range followers {
			followers[i] = config.NewRevisionHolder()
		}
		for step := range rapid.IntRange(1, 4).Draw(t, "steps") {
			s.SetFaults(store.Faults{
				LoseAnswers: rapid.IntRange(0, 3).Draw(t, "lost"),
				StaleReads:  rapid.Bool().Draw(t, "stale"),
				Down:        rapid.IntRange(0, 9).Draw(t, "down") == 0,
			})
			applyConcurrently(s, h, step, rapid.IntRange(1, 8).Draw(t, "operators"))
			for i := range followers {
				followers[i] = stepFollower(t, s, followers, i)
			}
		}
		s.SetFaults(store.Faults{})
		r, err := config.NewApplier(directClient(s)).Read(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		if r != nil {
			h.check(t, r.Head)
		}
		for _, f := range followers {
			readAndAdopt(t, s, f)
			if f.Current().Number() != r.Number() {
				t.Fatalf("a process has revision %d, the store has %d", f.Current().Number(), r.Number())
			}
		}
	})
}

// applyConcurrently runs one apply of each operator concurrently, and records their outcomes.
func applyConcurrently(s *store.Store, h *reportedOutcomes, step, operators int) {
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			id := fmt.Sprintf("%d/%d", step, i)
			ctx, cancel := context.WithTimeout(context.Background(), applyTimeout)
			defer cancel()
			o := config.NewApplier(directClient(s)).Apply(ctx, config.Proposal{
				ID: id, Author: "operator",
				Change: func(*config.Revision) (config.Config, error) { return sampleConfig(id), nil },
			})
			h.record(id, o)
		})
	}
	wg.Wait()
}

// stepFollower makes process i pause, read the store, or restart, and returns the
// config.RevisionHolder with its revision. A process that restarts adopts a peer's revision before it
// reads the store.
func stepFollower(t *rapid.T, s *store.Store, followers []*config.RevisionHolder, i int) *config.RevisionHolder {
	action := rapid.SampledFrom([]string{"pause", "read", "restart"}).Draw(t, "action")
	switch action {
	case "read":
		readAndAdopt(t, s, followers[i])
	case "restart":
		restarted := config.NewRevisionHolder()
		peer := followers[(i+rapid.IntRange(1, followerCount-1).Draw(t, "peer"))%followerCount].Current()
		if peer != nil {
			restarted.Adopt(peer)
		}
		readAndAdopt(t, s, restarted)
		return restarted
	}
	return followers[i]
}

// readAndAdopt reads the store and makes a process adopt the revision. The read may fail or be
// stale, and the process must not go back to an earlier revision.
func readAndAdopt(t *rapid.T, s *store.Store, follower *config.RevisionHolder) {
	before := follower.Current().Number()
	r, err := config.NewApplier(directClient(s)).Read(context.Background())
	if err == nil && r != nil {
		follower.Adopt(r)
	}
	if after := follower.Current().Number(); after < before {
		t.Fatalf("revision went back from %d to %d", before, after)
	}
}

// sampleConfig returns a configuration that differs for each id.
func sampleConfig(id string) config.Config {
	return config.Config{
		Deployment: config.Deployment{Name: "sample"},
		Domains:    []config.Domain{{Name: "a", State: config.DomainIn}},
		Services: []config.Service{{
			Name: "s", Address: netip.MustParseAddr("10.0.0.1"), Port: 80, DrainDeadlineSeconds: len(id),
		}},
		Drained: []string{id},
	}
}

// TestApplyLostResponse guards against an apply that took effect but is reported as
// refused. The response to the accepting write is lost, and another operator's apply
// replaces the head before the first operator reads it back. The outcome must then be
// found in the head's history.
func TestApplyLostResponse(t *testing.T) {
	g := NewWithT(t)
	s := store.New()
	client := directClient(s)
	swap := client.CompareAndSwap
	lost := false
	client.CompareAndSwap = func(ctx context.Context, w kvstore.Write) (kvstore.Swap, error) {
		out, err := swap(ctx, w)
		if w.Key != kvstore.KeyHead || lost {
			return out, err
		}
		lost = true
		other := config.NewApplier(directClient(s)).Apply(ctx, config.Proposal{
			ID:     "other",
			Change: func(*config.Revision) (config.Config, error) { return sampleConfig("other"), nil },
		})
		g.Expect(other.Result).To(Equal(config.Accepted))
		return kvstore.Swap{}, errors.New("response is lost")
	}
	o := config.NewApplier(client).Apply(context.Background(), config.Proposal{
		ID:     "own",
		Change: func(*config.Revision) (config.Config, error) { return sampleConfig("own"), nil },
	})
	g.Expect(o.Result).To(Equal(config.Accepted))
	g.Expect(o.Revision).To(Equal(uint64(1)))
}

// changeFunc derives a proposal's configuration from the current revision.
type changeFunc = func(*config.Revision) (config.Config, error)

// TestApplyRebase guards against a rebase that loses or overwrites a concurrent change.
// Another operator applies just before the accepting write. If it changed another failure
// domain, the apply is rebased and both changes are in the configuration. If it made the
// same change, nothing is left to apply. If it set the same field to another value, the
// apply is a conflict.
func TestApplyRebase(t *testing.T) {
	takeOut := func(domain string) changeFunc {
		return func(r *config.Revision) (config.Config, error) {
			cfg, _ := r.Config.WithDomainState(domain, config.DomainOut)
			return cfg, nil
		}
	}
	for _, c := range []struct {
		name       string
		concurrent changeFunc
		want       config.Result
	}{
		{"another domain", takeOut("b"), config.Accepted},
		{"the same change", takeOut("a"), config.Unchanged},
		{"another value of the same field", func(r *config.Revision) (config.Config, error) {
			cfg := r.Config
			cfg.Domains = []config.Domain{{Name: "a", State: "draining"}, {Name: "b", State: config.DomainIn}}
			return cfg, nil
		}, config.Conflict},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := store.New()
			apply := func(client *kvstore.Client, id string, change changeFunc) config.Outcome {
				return config.NewApplier(client).Apply(context.Background(), config.Proposal{
					ID: id, Author: id, Rebase: true, Change: change,
				})
			}
			first := apply(directClient(s), "first", func(*config.Revision) (config.Config, error) {
				cfg := sampleConfig("first")
				cfg.Domains = append(cfg.Domains, config.Domain{Name: "b", State: config.DomainIn})
				return cfg, nil
			})
			g.Expect(first.Result).To(Equal(config.Accepted))
			client := directClient(s)
			swap, raced := client.CompareAndSwap, false
			client.CompareAndSwap = func(ctx context.Context, w kvstore.Write) (kvstore.Swap, error) {
				if w.Key == kvstore.KeyHead && !raced {
					raced = true
					g.Expect(apply(directClient(s), "other", c.concurrent).Result).To(Equal(config.Accepted))
				}
				return swap(ctx, w)
			}
			o := apply(client, "own", takeOut("a"))
			g.Expect(o.Result).To(Equal(c.want))
			if c.want == config.Accepted {
				g.Expect(o.Rebased).To(BeTrue())
				g.Expect(o.Current.Config.DomainIsOut("a")).To(BeTrue())
				g.Expect(o.Current.Config.DomainIsOut("b")).To(BeTrue())
			}
		})
	}
}
