package flow

import (
	"context"
	"sync"
	"time"

	"arbutusfront.dev/arbutus-agent/caller"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/state/admission"
)

// Stages of a flow at its agent.
const (
	// dialing: the backend server is being dialed; no SYN-ACK has been sent.
	dialing stage = iota + 1
	// synACKSent: a SYN-ACK has been sent; the caller has not completed the handshake.
	synACKSent
	// established: the caller has accepted this agent's SYN-ACK.
	established
	// closing: both directions have ended; late packets may arrive.
	closing
)

const (
	// A packet belongs to a flow only if its sequence numbers differ by less than
	// sequenceWindow from the flow's.
	sequenceWindow = 1 << 24
)

type (
	stage int

	// Flow is a caller's flow whose TCP this agent terminates, with the sequence numbers
	// that decide which packets belong to it.
	Flow struct {
		key      ipv4.FlowKey
		syn      []byte
		openedAt time.Time
		// header is that of the SYN. arrivedAt is when the first copy of the SYN arrived here.
		header    capsule.Header
		arrivedAt time.Time
		// job is the flow's request, or the one that is expected, in the engine's queue. It is
		// guarded by Engine.queueMu.
		job admission.Job

		mu sync.Mutex
		// ownedUntil is until when only this agent may answer the SYN; zero if there is no limit,
		// as flows are not admitted by time.
		ownedUntil time.Time
		stage      stage
		conn       *caller.Conn
		// aborted is set if this agent ended the flow by abort.
		aborted bool
		// callerISN and agentISN are the initial sequence numbers of the caller and of
		// this agent.
		callerISN uint32
		agentISN  uint32
		// callerNext is the next sequence number expected from the caller, agentNext
		// the next one to send to it.
		callerNext uint32
		agentNext  uint32
		// cancel ends the flow's dial, handshake and waiting requests, and resets its
		// connection to the backend server.
		cancel context.CancelFunc
	}
)

// String returns the stage's name.
func (s stage) String() string {
	switch s {
	case dialing:
		return "dialing"
	case synACKSent:
		return "offered"
	case established:
		return "established"
	default:
		return "closing"
	}
}

// cloneHeader returns a copy of the header that remains valid after HandlePacket returns.
func cloneHeader(h capsule.Header) capsule.Header {
	h.Visited = append([]uint64(nil), h.Visited...)
	return h
}

func newFlow(p ipv4.Packet, now time.Time, cancel context.CancelFunc) *Flow {
	return &Flow{
		key:        p.Key(),
		syn:        append([]byte(nil), p.Bytes()...),
		openedAt:   now,
		cancel:     cancel,
		stage:      dialing,
		callerISN:  p.Sequence(),
		callerNext: p.Sequence() + 1,
	}
}

// claims reports whether a packet other than a SYN belongs to this flow. Two agents may
// have sent SYN-ACKs for the SYN and its retransmission, with different initial sequence
// numbers, of which the caller accepts one. A packet that acknowledges the other agent's
// number must not reach this agent's stack, whose RST would end the flow.
func (f *Flow) claims(p ipv4.Packet) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch f.stage {
	case dialing:
		return false
	case synACKSent:
		if p.Flags().Has(ipv4.FlagACK) {
			return p.Acknowledgment() == f.agentISN+1
		}
		return p.Sequence() == f.callerISN+1
	default:
		if p.Flags().Has(ipv4.FlagACK) && !inWindow(p.Acknowledgment(), f.agentNext) {
			return false
		}
		return inWindow(p.Sequence(), f.callerNext)
	}
}

// trackDelivered updates the sequence number expected from the caller after a packet
// that arrived in order. It reports whether the packet is a RST that ends the flow: one
// with exactly the expected number.
func (f *Flow) trackDelivered(p ipv4.Packet) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stage != established || p.Sequence() != f.callerNext {
		return false
	}
	if p.Flags().Has(ipv4.FlagRST) {
		return true
	}
	f.callerNext += p.SegmentLength()
	return false
}

// startsNewConnection reports whether a SYN starts another connection with the flow's
// key, rather than being a retransmission.
func (f *Flow) startsNewConnection(p ipv4.Packet) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return p.Sequence() != f.callerISN
}

// trackSent updates the flow's sequence numbers from a packet to the caller, and reports
// whether the packet may be sent. An agent whose SYN-ACK the caller has not accepted
// must not send a RST: the caller may have accepted another agent's.
func (f *Flow) trackSent(p ipv4.Packet) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	flags := p.Flags()
	if flags.Has(ipv4.FlagSYN | ipv4.FlagACK) {
		if f.stage == dialing {
			f.stage = synACKSent
		}
		f.agentISN = p.Sequence()
		f.agentNext = p.Sequence() + 1
		return true
	}
	if flags.Has(ipv4.FlagRST) {
		return f.stage == established || f.stage == closing
	}
	if next := p.Sequence() + p.SegmentLength(); int32(next-f.agentNext) > 0 {
		f.agentNext = next
	}
	if flags.Has(ipv4.FlagACK) && int32(p.Acknowledgment()-f.callerNext) > 0 {
		f.callerNext = p.Acknowledgment()
	}
	return true
}

func (f *Flow) setStage(s stage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stage = s
}

func (f *Flow) currentStage() stage {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stage
}

// establish marks the flow as established and stores the caller's connection.
func (f *Flow) establish(c *caller.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stage = established
	f.conn = c
}

// recordCopy records that a copy of the flow's SYN has arrived here.
func (f *Flow) recordCopy(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.ownedUntil.IsZero() {
		f.ownedUntil = now.Add(synOwnership)
	}
}

// isOwned reports whether no other agent may have opened the flow meanwhile.
func (f *Flow) isOwned(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ownedUntil.IsZero() || !now.After(f.ownedUntil)
}

// isLimited reports whether the SYN must be answered within a limited time.
func (f *Flow) isLimited() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.ownedUntil.IsZero()
}

// wasAborted reports whether this agent ended the flow by abort.
func (f *Flow) wasAborted() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.aborted
}

// inWindow compares sequence numbers modulo 2^32.
func inWindow(number, expected uint32) bool {
	d := int32(number - expected)
	return d > -sequenceWindow && d < sequenceWindow
}
