package ipv4

import (
	"encoding/binary"

	"gvisor.dev/gvisor/pkg/tcpip/checksum"
)

// Segment describes a TCP segment without options.
type Segment struct {
	Key FlowKey
	// FromService is set if the service's end of the flow is the sender, rather than
	// the caller's.
	FromService    bool
	Flags          Flags
	Sequence       uint32
	Acknowledgment uint32
	Window         uint16
	Payload        []byte
}

// Build returns the segment in one IPv4 packet with valid checksums.
func Build(s Segment) []byte { return Append(make([]byte, 0, MinPacketBytes+len(s.Payload)), s) }

// Append appends the packet of Build to out.
func Append(out []byte, s Segment) []byte {
	source, destination := s.Key.Caller, s.Key.Service
	if s.FromService {
		source, destination = destination, source
	}
	start := len(out)
	var headers [MinPacketBytes]byte
	out = append(append(out, headers[:]...), s.Payload...)
	b := out[start:]
	b[0] = ipVersion<<4 | ipHeaderBytes/wordBytes
	binary.BigEndian.PutUint16(b[2:], uint16(len(b)))
	b[8] = timeToLive
	b[9] = protocolTCP
	sourceIP, destinationIP := source.Addr().As4(), destination.Addr().As4()
	copy(b[12:], sourceIP[:])
	copy(b[16:], destinationIP[:])
	binary.BigEndian.PutUint16(b[10:], ^checksum.Checksum(b[:ipHeaderBytes], 0))
	tcp := b[ipHeaderBytes:]
	binary.BigEndian.PutUint16(tcp[0:], source.Port())
	binary.BigEndian.PutUint16(tcp[2:], destination.Port())
	binary.BigEndian.PutUint32(tcp[4:], s.Sequence)
	binary.BigEndian.PutUint32(tcp[8:], s.Acknowledgment)
	tcp[12] = tcpHeaderBytes / wordBytes << 4
	tcp[13] = uint8(s.Flags)
	binary.BigEndian.PutUint16(tcp[14:], s.Window)
	sum := checksum.Checksum(tcp, pseudoHeaderSum(b[12:20], len(tcp)))
	binary.BigEndian.PutUint16(tcp[16:], ^sum)
	return out
}

// Reset returns the RST to send in response to the caller's packet by the rules of RFC
// 9293, section 3.10.7.1. It returns nil for a RST, to which none must be sent.
func Reset(p Packet) []byte {
	if p.Flags().Has(FlagRST) {
		return nil
	}
	s := Segment{Key: p.Key(), FromService: true, Flags: FlagRST}
	if p.Flags().Has(FlagACK) {
		s.Sequence = p.Acknowledgment()
		return Build(s)
	}
	s.Flags = FlagRST | FlagACK
	s.Acknowledgment = p.Sequence() + p.SegmentLength()
	return Build(s)
}
