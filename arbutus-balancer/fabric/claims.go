package fabric

import "arbutusfront.dev/common/protocol/capsule"

const (
	// acceptWindow is the largest distance between the acknowledgment number that accepts a SYN-ACK
	// and that of the caller's first packet which is seen here after it.
	acceptWindow = 1 << 16
	// connectionWindow is the largest distance between two acknowledgment numbers of the same
	// connection that are known at a time. Numbers of different connections are random.
	connectionWindow = 1 << 24
)

// accepts reports whether an agent's report replaces what the entry says of the flow's holder. Reports
// arrive late, for example from an agent that was stopped, so the last one is not always right:
//
//   - A report from the handshake is the claim of an agent whose SYN-ACK the caller may not have
//     accepted. It does not replace the holder, nor an earlier such claim. If the caller has accepted a
//     SYN-ACK, its acknowledgment number says whether it was this one.
//   - A report of an established flow rests on a packet that matched the connection at that agent. It
//     replaces any other claim, except one of a later run of the same backend server.
func (e *flowEntry) accepts(agent string, h capsule.Held) bool {
	switch {
	case !h.Handshaking:
		return !e.accepted || e.agent != agent || h.ServerRun == 0 || h.ServerRun >= e.serverRun
	case e.accepted:
		return false
	case e.acknowledged != 0:
		return isAccepted(h.Acknowledgment, e.acknowledged)
	default:
		return !e.confirmed || e.agent == agent
	}
}

// recordClaim records the agent's report, which accepts has admitted. If another agent held the flow
// and the report seems to be of another connection, the holder is uncertain until the next report.
func (e *flowEntry) recordClaim(agent string, h capsule.Held) {
	contradicts := e.accepted && e.agent != agent && !isSameConnection(e.acknowledged, h.Acknowledgment)
	e.agent, e.serverRun, e.confirmed, e.accepting = agent, h.ServerRun, true, 0
	switch {
	case h.Handshaking:
		e.accepting = h.Acknowledgment
		e.accepted = e.acknowledged != 0
	case contradicts:
		e.acknowledged, e.accepted = h.Acknowledgment, false
	default:
		e.recordAcknowledged(h.Acknowledgment)
		e.accepted = true
	}
}

// isAccepted reports whether the acknowledgment number of a caller's packet accepts the SYN-ACK that
// accepting acknowledges; 0 if it is unknown.
func isAccepted(accepting, acknowledged uint32) bool {
	return accepting != 0 && acknowledged-accepting < acceptWindow
}

// isSameConnection reports whether two acknowledgment numbers may belong to the same connection. It is
// true if one of them is unknown.
func isSameConnection(a, b uint32) bool {
	return a == 0 || b == 0 || a-b < connectionWindow || b-a < connectionWindow
}
