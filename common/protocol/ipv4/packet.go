// Package ipv4 parses and builds the packets of TCP over IPv4 that callers and agents
// exchange.
//
// # Usage
//
//	p, err := ipv4.Parse(b)
//	if err != nil {
//		drop(ipv4.ReasonOf(err))
//	}
//	if p.Flags().Has(ipv4.FlagSYN) { ... }
//
// A Packet refers to the buffer that it was parsed from, and is valid only while that is
// not reused. Parse allocates nothing.
package ipv4

import (
	"encoding/binary"
	"net/netip"

	"gvisor.dev/gvisor/pkg/tcpip/checksum"
)

const (
	// MinPacketBytes is the size of the smallest IPv4 TCP packet.
	MinPacketBytes = ipHeaderBytes + tcpHeaderBytes
	// MaxPacketBytes is the size of the largest packet that Parse accepts.
	MaxPacketBytes = 1500

	ipHeaderBytes  = 20
	tcpHeaderBytes = 20
	ipVersion      = 4
	protocolTCP    = 6
	// fragmentMask covers the flag "more fragments" and the fragment offset.
	fragmentMask = 0x3fff
	// wordBytes is the unit of the length fields in IP and TCP headers.
	wordBytes  = 4
	timeToLive = 64
)

// Flags of a TCP segment.
const (
	FlagFIN Flags = 1 << iota
	FlagSYN
	FlagRST
	FlagPSH
	FlagACK
)

type (
	// Flags is a set of control bits of a TCP segment.
	Flags uint8

	// FlowKey identifies a flow by its two ends.
	FlowKey struct {
		Caller  netip.AddrPort
		Service netip.AddrPort
	}

	// Packet is a validated view of one packet of TCP over IPv4.
	Packet struct {
		// raw is the whole packet, without padding.
		raw []byte
		// tcp is the TCP segment within raw.
		tcp []byte
	}
)

// Has reports whether all bits of other are set.
func (f Flags) Has(other Flags) bool { return f&other == other }

// Parse validates the IPv4 header of one packet, and that its TCP header is complete.
// Errors are of type Reason. The TCP checksum is verified by VerifyTCPChecksum only, since
// balancers need not spend time on it.
func Parse(b []byte) (Packet, error) {
	if len(b) < MinPacketBytes {
		return Packet{}, ReasonShort
	}
	if len(b) > MaxPacketBytes {
		return Packet{}, ReasonOversize
	}
	if b[0]>>4 != ipVersion {
		return Packet{}, ReasonVersion
	}
	headerBytes := int(b[0]&0x0f) * wordBytes
	totalBytes := int(binary.BigEndian.Uint16(b[2:]))
	if headerBytes < ipHeaderBytes || totalBytes > len(b) || totalBytes < headerBytes+tcpHeaderBytes {
		return Packet{}, ReasonLength
	}
	if binary.BigEndian.Uint16(b[6:])&fragmentMask != 0 {
		return Packet{}, ReasonFragment
	}
	if b[9] != protocolTCP {
		return Packet{}, ReasonProtocol
	}
	if checksum.Checksum(b[:headerBytes], 0) != 0xffff {
		return Packet{}, ReasonChecksum
	}
	tcp := b[headerBytes:totalBytes]
	tcpBytes := int(tcp[12]>>4) * wordBytes
	if tcpBytes < tcpHeaderBytes || tcpBytes > len(tcp) {
		return Packet{}, ReasonLength
	}
	return Packet{raw: b[:totalBytes], tcp: tcp}, nil
}

// VerifyTCPChecksum verifies the TCP checksum. It returns ReasonChecksum if that is wrong.
func (p Packet) VerifyTCPChecksum() error {
	sum := pseudoHeaderSum(p.raw[12:20], len(p.tcp))
	if checksum.Checksum(p.tcp, sum) != 0xffff {
		return ReasonChecksum
	}
	return nil
}

// Bytes returns the whole packet, without padding that followed it in the buffer.
func (p Packet) Bytes() []byte { return p.raw }

// Key returns the flow of a packet that the caller sent: the source becomes Caller and
// the destination Service.
func (p Packet) Key() FlowKey {
	return FlowKey{
		Caller:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(p.raw[12:16])), binary.BigEndian.Uint16(p.tcp[0:])),
		Service: netip.AddrPortFrom(netip.AddrFrom4([4]byte(p.raw[16:20])), binary.BigEndian.Uint16(p.tcp[2:])),
	}
}

// Flags returns the segment's control bits.
func (p Packet) Flags() Flags { return Flags(p.tcp[13]) }

// IsSYN reports whether the segment is the SYN that opens a flow.
func (p Packet) IsSYN() bool {
	return p.Flags()&(FlagSYN|FlagACK|FlagRST) == FlagSYN
}

// Sequence returns the segment's sequence number.
func (p Packet) Sequence() uint32 { return binary.BigEndian.Uint32(p.tcp[4:]) }

// Acknowledgment returns the segment's acknowledgment number.
func (p Packet) Acknowledgment() uint32 { return binary.BigEndian.Uint32(p.tcp[8:]) }

// Payload returns the segment's data.
func (p Packet) Payload() []byte { return p.tcp[int(p.tcp[12]>>4)*wordBytes:] }

// SegmentLength returns the length of the segment in sequence space: its payload, plus
// one each for SYN and FIN.
func (p Packet) SegmentLength() uint32 {
	n := uint32(len(p.Payload()))
	if p.Flags().Has(FlagSYN) {
		n++
	}
	if p.Flags().Has(FlagFIN) {
		n++
	}
	return n
}

// pseudoHeaderSum returns the checksum of the TCP pseudo-header. Addresses are the source
// and destination as in the IP header; tcpBytes is the length of the TCP segment.
func pseudoHeaderSum(addresses []byte, tcpBytes int) uint16 {
	sum := checksum.Checksum(addresses, 0)
	return checksum.Combine(checksum.Combine(sum, protocolTCP), uint16(tcpBytes))
}
