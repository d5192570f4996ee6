package passthrough

import (
	"slices"
	"time"

	"arbutusfront.dev/common/protocol/frame"
	"arbutusfront.dev/common/protocol/ipv4"
)

const (
	// synACKTimeout is how long the backend server may take to send a SYN-ACK before the
	// flow is offered to another agent, if it has sent nothing else in the meantime. A
	// SYN-ACK takes well under a millisecond; callers retransmit their SYN after 200 ms.
	synACKTimeout = 150 * time.Millisecond
	// silenceTimeout is how long the backend server may leave packets unanswered before the
	// agent probes it. Requests take up to 180 ms.
	silenceTimeout = 200 * time.Millisecond
)

// HandleOutbound processes a packet that the backend server sent: its own, which goes to the
// caller, or one of a caller that it returns. Its own may also make the agent admit buffered
// SYNs. The packet is valid only during the call.
func (e *Engine) HandleOutbound(packet []byte) {
	p, err := e.codec.ParseOutbound(packet)
	if err != nil {
		e.metrics.dropped(string(ipv4.ReasonOf(err))).Inc(1)
		return
	}
	now := e.now()
	e.server.recordOutbound(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	if p.Returned {
		e.handleReturned(p, now)
		return
	}
	e.trackOutbound(p, now)
	if len(e.pending) > 0 {
		e.admitPending(e.node.View(), now)
	}
	if e.queue.Waiting() > 0 {
		e.admitWaiting(e.node.View(), now)
	}
	e.reportCapacity(now)
	e.checkSend(p.Key.Caller, e.reply(p.Key.Caller, p.Bytes))
}

// trackOutbound updates the state of the flow from a packet that the backend server sent. It
// adopts an unknown flow unless the packet has the SYN or RST flag. On the first SYN-ACK, and
// on a packet without these flags that confirms an unconfirmed flow, it reports this agent as
// the holder to the origin. e.mu must be held.
func (e *Engine) trackOutbound(p frame.Frame, now time.Time) {
	f := e.flows[p.Key]
	if f == nil {
		if p.Flags&(ipv4.FlagSYN|ipv4.FlagRST) == 0 {
			e.adopt(p, now)
		}
		return
	}
	f.usedAt = now
	switch {
	case p.IsSYNACK():
		if !f.synACKed || f.serverISN != p.Sequence {
			// The run that sends the SYN-ACK has taken the flow, which may be a later one than that
			// which got the first SYN.
			f.startedAt = now
		}
		f.serverISN = p.Sequence
		if !f.synACKed {
			f.synACKed = true
			delete(e.awaitingSYNACK, f.key)
			e.sendHeld(f, f.header.Origin)
		}
		return
	case p.Flags.Has(ipv4.FlagRST):
		if !f.requestedAt.IsZero() {
			e.recordAnswer(f, p, true, now)
		}
		e.close(f, bothEnds)
		return
	case f.stage == unconfirmed:
		e.setOpen(f)
		e.logAdopted(f, "server_answered", now)
		e.sendHeld(f, f.header.Origin)
	}
	if p.PayloadBytes > 0 && !f.requestedAt.IsZero() {
		e.metrics.answer.RecordDuration(now.Sub(f.requestedAt))
		e.recordAnswer(f, p, false, now)
		e.endRequest(f)
	}
	if p.Flags.Has(ipv4.FlagFIN) {
		e.close(f, serverEnd)
	}
}

// adopt adds a flow that the agent does not know but the backend server holds, as its
// packet shows. The packet's sequence number stands in for the caller's acknowledgment
// number. e.mu must be held.
func (e *Engine) adopt(p frame.Frame, now time.Time) {
	f := &flow{
		key: p.Key, stage: unconfirmed, startedAt: now, usedAt: now,
		acknowledged: p.Sequence,
	}
	if e.add(f) {
		e.setOpen(f)
		if p.Flags.Has(ipv4.FlagFIN) {
			e.close(f, serverEnd)
		}
		e.logAdopted(f, "server_sent", now)
	}
}

// handleReturned removes the flow of a caller's packet that the backend server returned. A
// returned SYN shows that the backend server is at capacity: the flow is offered to the next
// candidate. An open flow is reset, and the backend server is suspected to have crashed. A
// packet of any other flow is forwarded, one of an unknown flow is dropped. e.mu must be held.
func (e *Engine) handleReturned(p frame.Frame, now time.Time) {
	e.codec.ClearReturned(p.Bytes)
	p.Returned = false
	e.metrics.returned.Inc(1)
	f := e.flows[p.Key]
	if f == nil {
		e.metrics.dropped("returned").Inc(1)
		return
	}
	v := e.node.View()
	stage, h := f.stage, f.header
	e.remove(f)
	switch {
	case p.IsSYN():
		e.server.recordAtCapacity(now)
		e.logNotAdmitted(p, h, "returned")
		e.offerToNext(v, h, p)
	case stage == open:
		// No other backend server can hold a flow that was open at this one.
		e.notHeldSince[p.Key] = now
		e.server.recordLostFlow()
		e.reset(p, "server_lost_flow")
	default:
		e.notHeldSince[p.Key] = now
		e.forwardSegment(v, h, p, now)
	}
}

// runChecks runs the periodic checks of the backend server: it resets flows of earlier runs,
// stops counting first requests that were expected for too long, admits buffered SYNs, offers
// flows that got no SYN-ACK to other agents, resets the flows of a backend server that has died
// silently, and starts a liveness probe if one is due.
func (e *Engine) runChecks() {
	now := e.now()
	e.mu.Lock()
	e.resetEarlierRuns(now)
	e.queue.Expire(now)
	e.origins.Expire(now)
	v := e.node.View()
	e.admitPending(v, now)
	e.admitWaiting(v, now)
	e.reportCapacity(now)
	for _, f := range e.awaitingSYNACK {
		if now.Sub(f.startedAt) < synACKTimeout || e.server.hasSentSince(f.startedAt) {
			continue
		}
		p, err := e.codec.Parse(f.syn)
		e.remove(f)
		if err != nil {
			continue
		}
		e.server.recordSilent(now)
		e.metrics.reoffered.Inc(1)
		e.logNotAdmitted(p, f.header, "not_answered")
		e.offerToNext(v, f.header, p)
	}
	e.mu.Unlock()
	if e.server.checkSilence(now) {
		e.handleDeath()
	}
	if e.server.needsProbe(now, silenceTimeout) {
		e.server.startProbe(e.handleDeath)
	}
}

// resetEarlierRuns resets the flows of earlier runs of the backend server, once it has
// announced a new run. Flows that started after the new run did may belong to it already,
// and remain. e.mu must be held.
func (e *Engine) resetEarlierRuns(now time.Time) {
	run := e.server.RunStartedMillis()
	previous := e.lastRunStartedMillis
	e.lastRunStartedMillis = max(run, previous)
	if previous == 0 || run <= previous || e.without.runResets {
		return
	}
	runAge := now.Sub(time.UnixMilli(int64(run)))
	e.endFlows(func(f *flow) bool { return now.Sub(f.startedAt) > runAge }, "server_run_over")
}

// handleDeath resets all flows of a dead backend server.
func (e *Engine) handleDeath() {
	if e.without.silentResets {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endFlows(func(*flow) bool { return true }, "server_dead")
}

// endFlows removes the matching flows, and resets those that are open and not closed by
// both ends, in the order of the callers' addresses. e.mu must be held.
func (e *Engine) endFlows(match func(*flow) bool, reason string) {
	flows := make([]*flow, 0, len(e.flows))
	for _, f := range e.flows {
		if match(f) {
			flows = append(flows, f)
		}
	}
	slices.SortFunc(flows, func(a, b *flow) int { return a.key.Caller.Compare(b.key.Caller) })
	for _, f := range flows {
		stage, closed := f.stage, f.isClosed()
		e.remove(f)
		if stage != open || closed {
			continue
		}
		e.reset(frame.Frame{Key: f.key, Flags: ipv4.FlagACK, Acknowledgment: f.acknowledged}, reason)
	}
}
