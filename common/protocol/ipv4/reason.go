package ipv4

import "errors"

// Reasons to reject a packet.
const (
	// ReasonShort means that the packet has fewer than MinPacketBytes.
	ReasonShort Reason = "short"
	// ReasonOversize means that the packet has more than MaxPacketBytes.
	ReasonOversize Reason = "oversize"
	// ReasonVersion means that the packet is not of IP version 4.
	ReasonVersion Reason = "version"
	// ReasonLength means that a length field of the IP or TCP header is inconsistent.
	ReasonLength Reason = "length"
	// ReasonFragment means that the packet is a fragment.
	ReasonFragment Reason = "fragment"
	// ReasonProtocol means that the packet is not of TCP.
	ReasonProtocol Reason = "protocol"
	// ReasonChecksum means that the checksum of the IP header or the TCP segment is wrong.
	ReasonChecksum Reason = "checksum"
	// ReasonOther stands for an error that is not a Reason.
	ReasonOther Reason = "other"
)

// Reason is the error of Parse and VerifyTCPChecksum: the reason why a packet is invalid.
type Reason string

// Error implements error.
func (r Reason) Error() string { return "bad packet: " + string(r) }

// ReasonOf returns the Reason that err wraps, or ReasonOther if there is none.
func ReasonOf(err error) Reason {
	var r Reason
	if errors.As(err, &r) {
		return r
	}
	return ReasonOther
}
