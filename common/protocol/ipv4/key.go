package ipv4

import (
	"encoding/binary"
	"net/netip"
)

// FlowKeyBytes is the size of an encoded FlowKey.
const FlowKeyBytes = 12

// Append appends the encoded key to b: caller address and port, service address and
// port, in network order.
func (k FlowKey) Append(b []byte) []byte {
	for _, end := range [...]netip.AddrPort{k.Caller, k.Service} {
		a := end.Addr().As4()
		b = append(b, a[:]...)
		b = binary.BigEndian.AppendUint16(b, end.Port())
	}
	return b
}

// Encode returns the encoded key, in the form that Append appends.
func (k FlowKey) Encode() []byte { return k.Append(make([]byte, 0, FlowKeyBytes)) }

// DecodeFlowKey decodes a key, and reports whether b has the length FlowKeyBytes.
func DecodeFlowKey(b []byte) (FlowKey, bool) {
	if len(b) != FlowKeyBytes {
		return FlowKey{}, false
	}
	return FlowKey{
		Caller:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[0:4])), binary.BigEndian.Uint16(b[4:])),
		Service: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[6:10])), binary.BigEndian.Uint16(b[10:])),
	}, true
}
