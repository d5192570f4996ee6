package ipv4

const (
	// returnedByte is the offset of the byte with the reserved flag of the IP header, which
	// routers ignore.
	returnedByte = 6
	returnedBit  = 0x80
)

// IsReturned reports whether the reserved bit of the packet is set. Backend servers set it in
// packets that they return.
func IsReturned(b []byte) bool { return len(b) > returnedByte && b[returnedByte]&returnedBit != 0 }

// MarkReturned sets the reserved bit of the packet, which shows that a backend server returned
// it. It does not update the checksum.
func MarkReturned(b []byte) { b[returnedByte] |= returnedBit }

// ClearReturned clears the reserved bit of the packet. It does not update the checksum.
func ClearReturned(b []byte) { b[returnedByte] &^= returnedBit }
