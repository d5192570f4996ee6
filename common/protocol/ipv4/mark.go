package ipv4

const (
	// markByte has the reserved bit of the IP header, which routers ignore.
	markByte = 6
	markBit  = 0x80
)

// IsMarked reports whether the packet's reserved bit is set.
func IsMarked(b []byte) bool { return len(b) > markByte && b[markByte]&markBit != 0 }

// Mark sets the packet's reserved bit. The checksum is left as it was.
func Mark(b []byte) { b[markByte] |= markBit }

// Unmark clears the packet's reserved bit.
func Unmark(b []byte) { b[markByte] &^= markBit }
