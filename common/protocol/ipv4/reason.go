package ipv4

import "errors"

// Reasons to reject a packet.
const (
	ReasonShort    Reason = "short"
	ReasonOversize Reason = "oversize"
	ReasonVersion  Reason = "version"
	ReasonLength   Reason = "length"
	ReasonFragment Reason = "fragment"
	ReasonProtocol Reason = "protocol"
	ReasonChecksum Reason = "checksum"
	ReasonOther    Reason = "other"
)

// Reason is the error of Parse and CheckSegment: the reason why a packet is invalid.
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
