package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Layout of a packet, as in PROTOCOL.md.
const (
	headerBytes = 34
	maxData     = 1200

	flagACK     = 1
	flagBounced = 2
	flagRST     = 4
	flagFIN     = 8
	flagSYN     = 32
)

// sumKey keys the checksum. The processes under test do not know it.
const sumKey = "standin-3"

// packet is one datagram of a flow.
type packet struct {
	seq, ack uint32
	dst, src netip.AddrPort
	flags    byte
	echo     uint32
	data     []byte
}

// encode returns the datagram, with a valid sum unless the packet is a reset of the system's own.
func (p packet) encode() []byte {
	b := make([]byte, headerBytes, headerBytes+len(p.data))
	binary.BigEndian.PutUint32(b[0:], p.seq)
	binary.BigEndian.PutUint32(b[4:], p.ack)
	binary.BigEndian.PutUint16(b[8:], p.dst.Port())
	dst := p.dst.Addr().As4()
	copy(b[10:], dst[:])
	binary.BigEndian.PutUint16(b[14:], p.src.Port())
	src := p.src.Addr().As4()
	copy(b[16:], src[:])
	b[20] = p.flags
	binary.BigEndian.PutUint32(b[24:], p.echo)
	binary.BigEndian.PutUint16(b[32:], uint16(len(p.data)))
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[28:], sumOf(b))
	return b
}

// sumOf returns the keyed sum over all fields except echo, pad, BOUNCED and the sum itself.
func sumOf(b []byte) uint32 {
	h := crc32.NewIEEE()
	h.Write([]byte(sumKey))
	h.Write(b[0:20])
	h.Write([]byte{b[20] &^ flagBounced})
	h.Write(b[32:])
	return h.Sum32()
}

// decode returns the packet in the datagram, and whether it is well-formed with a valid sum, or is
// a reset of the system's own.
func decode(b []byte) (p packet, valid, ownReset bool) {
	if len(b) < headerBytes || int(binary.BigEndian.Uint16(b[32:])) != len(b)-headerBytes {
		return packet{}, false, false
	}
	p = packet{
		seq: binary.BigEndian.Uint32(b[0:]), ack: binary.BigEndian.Uint32(b[4:]),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[10:14])), binary.BigEndian.Uint16(b[8:])),
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[16:20])), binary.BigEndian.Uint16(b[14:])),
		flags: b[20], echo: binary.BigEndian.Uint32(b[24:]),
		data: append([]byte(nil), b[headerBytes:]...),
	}
	sum := binary.BigEndian.Uint32(b[28:])
	if sum == 0 && p.flags == flagRST && len(p.data) == 0 {
		return p, true, true
	}
	return p, sum == sumOf(b), false
}

func (p packet) has(flag byte) bool { return p.flags&flag != 0 }
