package capsule

import (
	"encoding/binary"
	"math"
	"time"
)

const (
	// maxRefusals bounds the refusals of an estimate.
	maxRefusals = 64

	// An estimate consists of the wait, penalty and service time in microseconds, the busy share
	// in thousandths, the number of refusals, and for each the class and two durations in
	// milliseconds.
	estimateBytes = 4 + 4 + 4 + 2 + 1
	refusalBytes  = 1 + 2 + 2

	permille = 1000
)

type (
	// Estimate is an agent's estimate of how long new requests take at its backend server.
	Estimate struct {
		// Wait is how long a request that arrives now waits until the backend server begins to
		// work on it.
		Wait time.Duration
		// Penalty is added to the wait for as long as the backend server fails requests.
		Penalty time.Duration
		// Service is the mean time that the backend server works on a request; 0 if unknown.
		Service time.Duration
		// Busy is the recent share of the backend server's slots that were in use, from 0 to 1.
		Busy float64
		// Refusals are the request classes of which the agent admits no new flows now.
		Refusals []Refusal
	}

	// Refusal is a request class of which an agent admits no new flows for some time: flows
	// that were placed in their own failure domain for Own, others for Remote. Code 0 stands
	// for flows without a class.
	Refusal struct {
		Class       uint8
		Own, Remote time.Duration
	}
)

// append appends the estimate to a report. A nil estimate is left out, and so are the refusals
// beyond maxRefusals. Values that are out of range are replaced by the nearest one in range.
func (e *Estimate) append(b []byte) []byte {
	if e == nil {
		return b
	}
	b = binary.BigEndian.AppendUint32(b, clampUint32(e.Wait.Microseconds()))
	b = binary.BigEndian.AppendUint32(b, clampUint32(e.Penalty.Microseconds()))
	b = binary.BigEndian.AppendUint32(b, clampUint32(e.Service.Microseconds()))
	b = binary.BigEndian.AppendUint16(b, clampShare(e.Busy))
	refusals := e.Refusals[:min(len(e.Refusals), maxRefusals)]
	b = append(b, uint8(len(refusals)))
	for _, r := range refusals {
		b = append(b, r.Class)
		b = binary.BigEndian.AppendUint16(b, clampMillis(r.Own))
		b = binary.BigEndian.AppendUint16(b, clampMillis(r.Remote))
	}
	return b
}

// parseEstimate decodes the end of a report, which may be empty: it then returns nil. Bytes
// after the estimate are ignored, for later versions.
func parseEstimate(b []byte) (*Estimate, error) {
	if len(b) == 0 {
		return nil, nil
	}
	if len(b) < estimateBytes {
		return nil, Error.New("short estimate of %d bytes", len(b))
	}
	n := int(b[estimateBytes-1])
	if n > maxRefusals || len(b) < estimateBytes+n*refusalBytes {
		return nil, Error.New("estimate of %d bytes has %d refusals", len(b), n)
	}
	e := &Estimate{
		Wait:    time.Duration(binary.BigEndian.Uint32(b)) * time.Microsecond,
		Penalty: time.Duration(binary.BigEndian.Uint32(b[4:])) * time.Microsecond,
		Service: time.Duration(binary.BigEndian.Uint32(b[8:])) * time.Microsecond,
		Busy:    min(1, float64(binary.BigEndian.Uint16(b[12:]))/permille),
	}
	for r := range n {
		at := b[estimateBytes+r*refusalBytes:]
		e.Refusals = append(e.Refusals, Refusal{
			Class:  at[0],
			Own:    time.Duration(binary.BigEndian.Uint16(at[1:])) * time.Millisecond,
			Remote: time.Duration(binary.BigEndian.Uint16(at[3:])) * time.Millisecond,
		})
	}
	return e, nil
}

func clampUint32(v int64) uint32 { return uint32(max(0, min(math.MaxUint32, v))) }

// clampShare returns the share in thousandths. One that is not a number counts as 0, as Go leaves its
// conversion to the processor.
func clampShare(share float64) uint16 {
	if math.IsNaN(share) {
		return 0
	}
	return uint16(max(0, min(permille, share*permille)))
}

func clampMillis(d time.Duration) uint16 {
	return uint16(max(0, min(math.MaxUint16, d.Milliseconds())))
}
