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
