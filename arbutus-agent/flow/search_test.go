package flow

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/state/ending"
)

const (
	searchedPort     = 7
	searchedSequence = 5000
	searchAnswerTime = 30 * time.Millisecond
)

// runSearch calls run with an engine that answers its searches after searchAnswerTime with what answer
// returns for the number of the search, from 1. A search without an answer does not end.
func runSearch(t *testing.T, answer func(d *decisions, search int) (denied, ended bool), run func(d *decisions)) {
	t.Helper()
	var d *decisions
	searches := 0
	ask := func(key ipv4.FlowKey, _, _ uint32) bool {
		searches++
		search := searches
		time.AfterFunc(searchAnswerTime, func() {
			if denied, ended := answer(d, search); ended {
				d.engine.SearchEnded(key, denied)
			}
		})
		return true
	}
	runDecisions(t, []config.RequestClass{quick}, func(current *decisions) {
		d = current
		ctx, cancel := context.WithCancel(context.Background())
		done := d.engine.Run(ctx)
		run(d)
		cancel()
		d.g.Expect(<-done).To(Succeed())
	}, WithSearch(ask))
}

// sendAtHopLimit delivers a packet that has visited as many agents as the header has room for, but not
// all agents.
func (d *decisions) sendAtHopLimit(sequence uint32) {
	h := d.header(quick)
	for i := range capsule.MaxVisited - 1 {
		h.Visited = append(h.Visited, uint64(1000+i))
	}
	b := ipv4.Build(ipv4.Segment{
		Key:   ipv4.FlowKey{Caller: netip.AddrPortFrom(sampleCaller, searchedPort), Service: sampleService},
		Flags: ipv4.FlagACK, Sequence: sequence, Acknowledgment: sequence,
	})
	d.engine.HandlePacket(netip.AddrPort{}, h, b)
	synctest.Wait()
}

// TestUnvisitedAgentsAreAskedBeforeReset guards against the reset of a flow whose holder was not asked, or
// not long enough ago for it to know that the flow has ended, and against one that comes too late.
func TestUnvisitedAgentsAreAskedBeforeReset(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(d *decisions, search int) (denied, ended bool)
		// resetAfter is when the flow is reset; 0 for never.
		resetAfter time.Duration
	}{
		"all deny":                     {func(*decisions, int) (bool, bool) { return true, true }, ending.ResetDelay},
		"not ended":                    {func(*decisions, int) (bool, bool) { return false, false }, 0},
		"not ended when confirmed":     {func(_ *decisions, n int) (bool, bool) { return true, n == 1 }, 0},
		"one is silent":                {func(*decisions, int) (bool, bool) { return false, true }, ending.AnswerTime},
		"one is silent when confirmed": {func(_ *decisions, n int) (bool, bool) { return n == 1, true }, ending.AnswerTime},
	} {
		t.Run(name, func(t *testing.T) {
			runSearch(t, c.answer, func(d *decisions) {
				d.sendAtHopLimit(searchedSequence)
				if c.resetAfter == 0 {
					time.Sleep(2 * ending.AnswerTime)
					d.sendAtHopLimit(searchedSequence)
					d.g.Expect(d.resets()).To(BeEmpty())
					return
				}
				time.Sleep(c.resetAfter - time.Millisecond)
				d.g.Expect(d.resets()).To(BeEmpty())
				time.Sleep(searchCheckInterval + 2*searchAnswerTime)
				synctest.Wait()
				d.g.Expect(d.resets()).To(Equal([]uint16{searchedPort}))
				d.sendAtHopLimit(searchedSequence)
				d.g.Expect(d.resets()).To(HaveLen(2), "the RST may have been lost")
			})
		})
	}
}

// TestOldSearchDoesNotResetNewConnection guards against the reset of a flow because an earlier one from the
// same port was unclaimed.
func TestOldSearchDoesNotResetNewConnection(t *testing.T) {
	runSearch(t, func(*decisions, int) (bool, bool) { return true, true }, func(d *decisions) {
		d.sendAtHopLimit(searchedSequence)
		time.Sleep(2 * ending.ResetDelay)
		d.g.Expect(d.resets()).To(HaveLen(1))
		d.sendAtHopLimit(searchedSequence + sequenceWindow)
		time.Sleep(searchAnswerTime)
		d.g.Expect(d.resets()).To(HaveLen(1))
	})
}

// TestFoundHolderGetsPackets guards against a flow that is searched for and found, but whose packets are
// dropped on, or go to an agent that was listed as its holder wrongly.
func TestFoundHolderGetsPackets(t *testing.T) {
	const holder = selfInstance + 2
	for _, listed := range []uint64{0, selfInstance, holder} {
		runSearch(t, func(d *decisions, _ int) (bool, bool) {
			d.engine.Found(ipv4.FlowKey{Caller: netip.AddrPortFrom(sampleCaller, searchedPort), Service: sampleService}, holder)
			return false, false
		}, func(d *decisions) {
			if listed != 0 {
				key := ipv4.FlowKey{Caller: netip.AddrPortFrom(sampleCaller, searchedPort), Service: sampleService}
				d.engine.Register(key, listed)
			}
			d.sendAtHopLimit(searchedSequence)
			time.Sleep(2 * searchAnswerTime)
			d.sendAtHopLimit(searchedSequence)
			offers := d.offers()
			d.g.Expect(offers).NotTo(BeEmpty())
			d.g.Expect(offers[len(offers)-1].Target).To(Equal(uint64(holder)))
			time.Sleep(2 * ending.ResetDelay)
			d.g.Expect(d.resets()).To(BeEmpty())
		})
	}
}
