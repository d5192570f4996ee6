package main

import (
	"encoding/binary"
	"net/netip"
)

// Layout and flags of a packet, as in PROTOCOL.md.
const (
	headerBytes = 34

	flagACK     = 1
	flagBounced = 2
	flagRST     = 4
	flagFIN     = 8
	flagSYN     = 32

	// resetWindow is the largest distance between a client's last acknowledgment number and
	// the sequence number of a reset that it accepts on an open flow.
	resetWindow = 76_800
)

type (
	// packet is a decoded packet. Raw is the datagram that it was decoded from.
	packet struct {
		src, dst netip.AddrPort
		flags    byte
		seq, ack uint32
		data     []byte
		raw      []byte
	}

	// flowKey identifies a flow by its two ends.
	flowKey struct{ client, route netip.AddrPort }
)

func (p packet) has(flags byte) bool { return p.flags&flags == flags }

// encode returns the datagram of the packet. The sum is a simple one: the system can't check it.
func (p packet) encode() []byte {
	b := make([]byte, headerBytes+len(p.data))
	binary.BigEndian.PutUint32(b[0:], p.seq)
	binary.BigEndian.PutUint32(b[4:], p.ack)
	binary.BigEndian.PutUint16(b[8:], p.dst.Port())
	dst, src := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[10:], dst[:])
	binary.BigEndian.PutUint16(b[14:], p.src.Port())
	copy(b[16:], src[:])
	b[20] = p.flags
	binary.BigEndian.PutUint32(b[28:], p.seq^p.ack^0x5bd1e995)
	binary.BigEndian.PutUint16(b[32:], uint16(len(p.data)))
	copy(b[headerBytes:], p.data)
	return b
}

func decode(b []byte) (packet, bool) {
	if len(b) < headerBytes || int(binary.BigEndian.Uint16(b[32:])) != len(b)-headerBytes {
		return packet{}, false
	}
	address := func(host, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[host:host+4])), binary.BigEndian.Uint16(b[port:]))
	}
	return packet{
		src: address(16, 14), dst: address(10, 8), flags: b[20],
		seq: binary.BigEndian.Uint32(b[0:]), ack: binary.BigEndian.Uint32(b[4:]), data: b[headerBytes:], raw: b,
	}, true
}
