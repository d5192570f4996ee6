package main

import (
	"encoding/binary"
	"net/netip"
)

const (
	headBytes = 34

	flagACK      = 1
	flagReturned = 2
	flagRST      = 4
	flagFIN      = 8
	flagSYN      = 32
)

// packet is the head of a packet without data, as in PROTOCOL.md.
type packet struct {
	seq, ack uint32
	dst, src netip.AddrPort
	flags    uint8
}

func (p packet) bytes() []byte {
	b := make([]byte, headBytes)
	binary.BigEndian.PutUint32(b[0:], p.seq)
	binary.BigEndian.PutUint32(b[4:], p.ack)
	binary.BigEndian.PutUint16(b[8:], p.dst.Port())
	dst, src := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[10:], dst[:])
	binary.BigEndian.PutUint16(b[14:], p.src.Port())
	copy(b[16:], src[:])
	b[20] = p.flags
	if p.flags != flagRST {
		// Stands for the keyed sum, which only clients and servers check.
		binary.BigEndian.PutUint32(b[28:], 0xa1b2c3d5)
	}
	return b
}

func parsePacket(b []byte) (packet, bool) {
	if len(b) < headBytes {
		return packet{}, false
	}
	at := func(address, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[address:address+4])), binary.BigEndian.Uint16(b[port:]))
	}
	return packet{
		seq: binary.BigEndian.Uint32(b[0:]), ack: binary.BigEndian.Uint32(b[4:]), dst: at(10, 8), src: at(16, 14), flags: b[20],
	}, true
}
