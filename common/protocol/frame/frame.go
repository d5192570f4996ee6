// Package frame defines the form in which balancers and agents process a packet,
// independent of the packet's wire format.
//
// # Usage
//
//	f, err := codec.Parse(datagram)
//	if err != nil {
//		drop(ipv4.ReasonOf(err))
//	}
//	if f.IsSYN() { ... }
//
// A Codec reads and builds packets of one format; IPv4 is the one for TCP over IPv4. A
// Frame refers to the buffer that it was parsed from, and is valid only while that is
// not reused.
package frame

import (
	"time"

	"arbutusfront.dev/common/protocol/ipv4"
)

// Failures of a request, as determined from the beginning of its answer.
const (
	// NoFailure stands for an answer that shows no failure.
	NoFailure Failure = iota
	// Failed means that the backend server could not serve the request.
	Failed
	// Shed means that the backend server refused the request because it is overloaded.
	Shed
)

// The beginning of an HTTP answer, such as "HTTP/1.1 503".
const (
	httpPrefix   = "HTTP/1."
	statusOffset = len("HTTP/1.1 ")
	statusDigits = 3
	statusShed   = "503"
)

type (
	// Failure classifies the beginning of a backend server's answer to a request.
	Failure int

	// Frame is one packet of a flow.
	Frame struct {
		// Key identifies the flow, with the caller's end as Caller even if the
		// backend server sent the packet.
		Key            ipv4.FlowKey
		Flags          ipv4.Flags
		Sequence       uint32
		Acknowledgment uint32
		PayloadBytes   int
		// Retransmits is how many times the caller has retransmitted this SYN. It is 0
		// if the format does not carry that.
		Retransmits int
		// Age is how long before this SYN the caller sent its first copy. It is 0 if the
		// format does not carry that.
		Age time.Duration
		// RepeatedIn is after how long the caller sends the next copy of this SYN unless it
		// gets an answer; 0 if it sends no more, or the format does not carry that.
		RepeatedIn time.Duration
		// Returned is set if a backend server returned the caller's packet, because
		// it does not hold the flow or does not accept it.
		Returned bool
		// Bytes is the whole packet.
		Bytes []byte
	}

	// Codec reads and builds packets of one format. Errors are of type ipv4.Reason.
	Codec struct {
		// Parse reads a packet that a caller sent.
		Parse func(b []byte) (Frame, error)
		// ParseOutbound reads a packet that a backend server sent: one of its own, or
		// a caller's packet that it returned. It may modify b.
		ParseOutbound func(b []byte) (Frame, error)
		// Reset returns the RST to send in response to the caller's packet f, or nil
		// if none must be sent.
		Reset func(f Frame) []byte
		// AppendReset appends the packet of Reset to b, or nothing if none must be sent.
		AppendReset func(b []byte, f Frame) []byte
		// Failure classifies a packet with the beginning of a backend server's answer.
		// It is nil if the format does not show failures.
		Failure func(f Frame) Failure
		// ClearReturned clears the flag in the bytes of a returned packet, so that
		// another backend server receives the packet as the caller sent it.
		ClearReturned func(b []byte)
	}
)

// IsSYN reports whether the packet is the SYN that opens a flow.
func (f Frame) IsSYN() bool {
	return f.Flags&(ipv4.FlagSYN|ipv4.FlagACK|ipv4.FlagRST) == ipv4.FlagSYN
}

// IsSYNACK reports whether the packet is the SYN-ACK that accepts a flow.
func (f Frame) IsSYNACK() bool {
	return f.Flags&(ipv4.FlagSYN|ipv4.FlagACK|ipv4.FlagRST) == ipv4.FlagSYN|ipv4.FlagACK
}

// IPv4 returns the codec of packets of TCP over IPv4. In a packet that it returns, a backend
// server sets the reserved bit of the IP header, without updating the checksum.
// ParseOutbound clears that bit already, so ClearReturned has nothing to do.
func IPv4() Codec {
	return Codec{
		Parse: func(b []byte) (Frame, error) {
			p, err := ipv4.Parse(b)
			if err != nil {
				return Frame{}, err
			}
			return fromIPv4(p, p.Key()), nil
		},
		ParseOutbound: func(b []byte) (Frame, error) {
			if ipv4.IsReturned(b) {
				return parseReturned(b)
			}
			p, err := ipv4.Parse(b)
			if err != nil {
				return Frame{}, err
			}
			reversed := p.Key()
			return fromIPv4(p, ipv4.FlowKey{Caller: reversed.Service, Service: reversed.Caller}), nil
		},
		Reset:         func(f Frame) []byte { return appendResetIPv4(nil, f) },
		AppendReset:   appendResetIPv4,
		ClearReturned: func([]byte) {},
		Failure: func(f Frame) Failure {
			return HTTPFailure(f.Bytes[len(f.Bytes)-f.PayloadBytes:])
		},
	}
}

// parseReturned reads a caller's packet that a backend server returned. It first clears
// the reserved bit in b, which the header's checksum does not cover.
func parseReturned(b []byte) (Frame, error) {
	ipv4.ClearReturned(b)
	p, err := ipv4.Parse(b)
	if err != nil {
		return Frame{}, err
	}
	f := fromIPv4(p, p.Key())
	f.Returned = true
	return f, nil
}

// appendResetIPv4 implements Codec.AppendReset by the rules of RFC 9293, section 3.10.7.1.
func appendResetIPv4(b []byte, f Frame) []byte {
	if f.Flags.Has(ipv4.FlagRST) {
		return b
	}
	s := ipv4.Segment{Key: f.Key, FromService: true, Flags: ipv4.FlagRST}
	if f.Flags.Has(ipv4.FlagACK) {
		s.Sequence = f.Acknowledgment
		return ipv4.Append(b, s)
	}
	s.Flags |= ipv4.FlagACK
	s.Acknowledgment = f.Sequence + uint32(f.PayloadBytes)
	if f.Flags.Has(ipv4.FlagSYN) {
		s.Acknowledgment++
	}
	return ipv4.Append(b, s)
}

func fromIPv4(p ipv4.Packet, key ipv4.FlowKey) Frame {
	return Frame{
		Key:            key,
		Flags:          p.Flags(),
		Sequence:       p.Sequence(),
		Acknowledgment: p.Acknowledgment(),
		PayloadBytes:   len(p.Payload()),
		Bytes:          p.Bytes(),
	}
}

// HTTPFailure classifies the beginning of an HTTP/1 answer: Shed for status 503, Failed
// for other 5xx. Anything else, such as a later part of an answer, is NoFailure.
func HTTPFailure(payload []byte) Failure {
	if len(payload) < statusOffset+statusDigits || string(payload[:len(httpPrefix)]) != httpPrefix {
		return NoFailure
	}
	status := payload[statusOffset:]
	switch {
	case string(status[:statusDigits]) == statusShed:
		return Shed
	case status[0] == '5':
		return Failed
	default:
		return NoFailure
	}
}
