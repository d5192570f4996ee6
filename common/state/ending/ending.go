// Package ending decides whether a flow has ended, when a packet of it arrives and nobody is known to
// hold it. Its functions depend on nothing but the evidence that a process has gathered, and on the
// time.
//
// # Usage
//
//	switch ending.OfHolder(evidence, now) {
//	case ending.PassOn: // ask another process
//	case ending.Wait: // drop the packet: the caller retransmits it
//	case ending.Reset: // send the caller a RST
//	}
//
// A reset can't be taken back, so it takes certainty. What a process does not know is no evidence:
// neither the lack of a configuration or of a member record, nor the answer of an agent that has
// lost its directory while the holder may be back soon. Every wait has an end, so that the flow of
// a holder that is gone for good is reset.
package ending

import "time"

const (
	// SettleTime is how long a balancer's member table may lack other agents after one has
	// joined or left the joining phase, such as when the whole deployment starts.
	SettleTime = 300 * time.Millisecond
	// AnswerTime is how long a balancer waits for agents that do not say whether they hold a flow
	// although they count as alive, such as behind a cut that no monitor notices.
	AnswerTime = 10 * time.Second
	// ResetDelay is how long a flow is unclaimed before it is reset if an agent may hold it
	// after all.
	ResetDelay = 1500 * time.Millisecond
	// RevisionTime is how long it may take until a balancer learns that a later revision of the
	// configuration is in force, unless the deployment states another time.
	RevisionTime = 3 * time.Second
)

// Verdicts.
const (
	// PassOn: this process can't tell, but another one may.
	PassOn Verdict = iota
	// Wait: the flow may be held, and nobody can claim it now.
	Wait
	// Reset: the flow has ended.
	Reset
)

type (
	// Verdict says what to do with a packet.
	Verdict uint8

	// Holder is what a process knows of the agent that holds a flow by its records, and that
	// is not among the candidates.
	Holder struct {
		// Configured is set if the process has a configuration. Without one it knows no
		// candidates.
		Configured bool
		// Recorded is set if the member table contains the agent's incarnation.
		Recorded bool
		// ReturnsUntil is until when the next incarnation of an agent that has ended may
		// appear, beside the same backend server; zero if it has not ended.
		ReturnsUntil time.Time
	}

	// Unclaimed is what a balancer knows of a flow that all agents which it could ask have
	// returned.
	Unclaimed struct {
		// Uncertain is set if an agent that was asked may not know all flows of its backend
		// server, or a service of the route has no agents.
		Uncertain bool
		// Unanswered is set if some agents have not said yet whether they hold the flow.
		Unanswered bool
		// AskedFor is how long ago the last of the agents was asked first; 0 if some were not asked
		// yet.
		AskedFor time.Duration
		// Away is set if an agent that could not be asked since the flow was first
		// unclaimed may return, and no directory replica rules out that it holds the flow.
		Away bool
		// SinceJoin is how long ago an agent last joined or left the joining phase.
		SinceJoin time.Duration
		// Behind is set if a later revision of the configuration is known to exist. By that
		// one, agents that could not be asked may hold the flow.
		Behind bool
		// For is how long the flow has been unclaimed, not counting the time until Away was
		// last set.
		For time.Duration
	}

	// Unrouted is what a balancer knows of a flow to an endpoint that has no route by the
	// revision in force there.
	Unrouted struct {
		// Opens is set if the packet is a SYN, so that no open flow ends with it.
		Opens bool
		// Behind is set if a later revision is known to exist, which may have the route.
		Behind bool
		// Withdrawn is set if an earlier revision had the route, or the balancer has known a
		// holder of the flow.
		Withdrawn bool
		// Confirmed is set if no later revision existed when the flow's first packet without a
		// route arrived, or at a later time.
		Confirmed bool
		// For is how long ago that packet arrived, RevisionTime the time after which a later
		// revision would be known.
		For, RevisionTime time.Duration
	}
)

// OfHolder returns whether the flows of the holder have ended.
func OfHolder(h Holder, now time.Time) Verdict {
	switch {
	case !h.Configured || !h.Recorded:
		return PassOn
	case now.Before(h.ReturnsUntil):
		return Wait
	default:
		return Reset
	}
}

// OfUnclaimed returns whether the flow has ended. It never returns PassOn.
func OfUnclaimed(u Unclaimed) Verdict {
	doubtful := u.Uncertain || u.SinceJoin < SettleTime
	if u.Away || u.Behind || u.Unanswered && u.AskedFor < AnswerTime || doubtful && u.For < ResetDelay {
		return Wait
	}
	return Reset
}

// OfUnrouted returns whether the flow has ended because it has no route. It never returns PassOn.
func OfUnrouted(u Unrouted) Verdict {
	if !u.Behind && (u.Opens || u.Withdrawn || u.Confirmed || u.For >= u.RevisionTime) {
		return Reset
	}
	return Wait
}
