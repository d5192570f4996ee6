package ipv4

const (
	// markByte is the offset of the byte with the reserved flag of the IP header, which
	// routers ignore.
	markByte = 6
	markBit  = 0x80
)

// IsMarked reports whether the reserved bit of the packet is set. Backend servers set it in
// packets that they return.
func IsMarked(b []byte) bool { return len(b) > markByte && b[markByte]&markBit != 0 }

// Mark sets the reserved bit of the packet, which shows that a backend server returned it.
// It does not update the checksum.
func Mark(b []byte) { b[markByte] |= markBit }

// Unmark clears the reserved bit of the packet. It does not update the checksum.
func Unmark(b []byte) { b[markByte] &^= markBit }
