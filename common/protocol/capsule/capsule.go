// Package capsule encodes the UDP datagrams that balancers and agents exchange. They carry
// callers' packets, sealed control messages, or reports about the holder of a flow.
//
// # Usage
//
//	b = capsule.AppendPacket(b[:0], header, packet)
//	header, packet, err := capsule.ParsePacket(datagram, nil)
//
// A datagram with a packet starts with a fixed header of HeaderBytes, followed by the
// list of agents that have forwarded the packet, and the packet itself:
//
//	0  magic          1  version       2  kind       3  visited count
//	4  revision       (8 bytes)       12  sender instance (8 bytes)
//	20 target instance (8 bytes)      28  service key     (8 bytes)
//	36 origin address (4 bytes)       40  origin port     (2 bytes)
//	42 marks          43 request class
//	44 visited        (8 bytes each, instances)
//
// Numbers are in network order. The origin is the balancer that sent the packet first.
// The last agent of a forwarding chain returns a packet of an unclaimed flow to the
// origin in a datagram of KindUnclaimed. The holder of a flow reports itself to the
// origin in a datagram of KindHeld. An agent reports the load of its backend server to a
// balancer in a datagram of KindLoad.
//
// Datagrams of KindControl, KindHeld and KindLoad have only the first four bytes of the
// header, of which the last one contains flags in a datagram of KindHeld. The latter two may end
// with an Estimate, which only origins that set MarkEstimates receive: earlier versions of this
// program reject longer reports.
package capsule

import (
	"encoding/binary"
	"net/netip"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"

	"arbutusfront.dev/common/protocol/ipv4"
)

const (
	// HeaderBytes is the size of the header without the visited list.
	HeaderBytes = 44
	// MaxVisited bounds the visited list, and thereby the hops of one packet.
	MaxVisited = 16

	magic         = 0xa7
	version       = 2
	instanceBytes = 8
	prefixBytes   = 4
	heldBytes     = prefixBytes + ipv4.FlowKeyBytes + instanceBytes + 12 + runBytes + acknowledgmentBytes
	loadBytes     = prefixBytes + instanceBytes + 12
	runBytes      = 8

	acknowledgmentBytes = 4

	// flagHandshaking is set in the fourth byte of a datagram of KindHeld for Held.Handshaking.
	flagHandshaking = 1
)

// Kinds of datagrams.
const (
	// KindPacket carries a caller's packet to an agent.
	KindPacket Kind = 1
	// KindControl carries a sealed control message.
	KindControl Kind = 2
	// KindUnclaimed returns a packet of an unclaimed flow to its origin. Its visited
	// list is empty, unless the agent that returns it has no configuration yet, and so
	// could not forward it to the remaining candidates.
	KindUnclaimed Kind = 3
	// KindHeld reports the holder of a flow to the origin of a packet.
	KindHeld Kind = 4
	// KindLoad reports the load of a backend server to a balancer. It names no flow.
	KindLoad Kind = 5
)

// Marks of a packet.
const (
	// MarkReportHolder requests that the holder of the flow report itself to the origin
	// in a datagram of KindHeld.
	MarkReportHolder Marks = 1 << iota
	// MarkHolderKnown is set if, by the sender's records, the target's backend server holds
	// the flow. The target itself may not know of it.
	MarkHolderKnown
	// MarkUncertain is set if a visited agent may not know all flows of its backend
	// server, or if a service of the route has no agents. The flow may then have a
	// holder although no agent claimed it.
	MarkUncertain
	// MarkHopLimit is set if the visited list is full and some candidates were not
	// visited. One of these may hold the flow.
	MarkHopLimit
	// MarkBusy is set if a visited agent would admit the flow once its backend server
	// has capacity.
	MarkBusy
	// MarkLastOffer is set if no agent is left to offer the flow to, so that a busy target
	// queues or refuses it instead of forwarding it. Only SYNs have it.
	MarkLastOffer
	// MarkEstimates is set if the origin reads estimates: the agent adds one to its reports
	// to the origin.
	MarkEstimates
	// MarkRemote is set if the flow was placed in another failure domain than the origin's.
	MarkRemote
)

// MarkDirect is set, in packets other than SYNs, if the origin asks the target alone whether it holds
// the flow, with a visited list that leaves no room for other agents. It shares its bit with
// MarkLastOffer.
const MarkDirect = MarkLastOffer

// Error is the class of this package's errors.
var Error = errs.Class("capsule")

type (
	// Kind is what a datagram carries.
	Kind uint8

	// ServiceKey identifies a service in a header: it is the hash of its name.
	ServiceKey uint64

	// Header precedes a caller's packet.
	Header struct {
		// Revision is the number of the configuration revision in force at the sender. It
		// shows whether that may be outdated; if another system writes the configuration,
		// its version orders revisions first.
		Revision uint64
		// Sender is the instance of the process that sent the datagram.
		Sender uint64
		// Target is the instance of the agent that the datagram is for.
		Target  uint64
		Service ServiceKey
		// Origin is the address at which the balancer that sent the packet first
		// receives KindUnclaimed and KindHeld. It is not valid if the balancer
		// expects neither.
		Origin netip.AddrPort
		Marks  Marks
		// Class is the code of the request class of the flow's route, as in
		// config.ClassCodes; 0 if it has none.
		Class uint8
		// Visited are the instances of the agents that forwarded the packet, because
		// they neither hold the flow nor admit it. Zeros, which are no agent's instance,
		// leave room for fewer agents.
		Visited []uint64
	}

	// Marks is a set of properties of a packet.
	Marks uint8

	// Held reports that an agent holds a flow, and the load of its backend server.
	Held struct {
		Key ipv4.FlowKey
		// Instance is the instance of the agent.
		Instance uint64
		// Flows counts the flows that the agent holds.
		Flows uint32
		// Requests counts the requests in flight to the backend server and those
		// queued until it has capacity.
		Requests uint32
		// Slots is the number of requests that the backend server runs concurrently;
		// 0 if that is not known.
		Slots uint32
		// ServerRun is when the backend server started, as a Unix time in
		// milliseconds; 0 if that is not known.
		ServerRun uint64
		// Handshaking is set if the backend server has sent a SYN-ACK that the caller has
		// not accepted. Another backend server may have sent one too, for a copy of the
		// SYN.
		Handshaking bool
		// Acknowledgment is the last acknowledgment number of the caller, or 0 if there
		// was none. While Handshaking, it is the one that accepts the SYN-ACK.
		Acknowledgment uint32
		// Estimate is nil if the agent has none, or the balancer reads none.
		Estimate *Estimate
	}

	// Load reports the load of an agent's backend server. The fields have the same meaning
	// as those of Held.
	Load struct {
		Instance uint64
		Flows    uint32
		Requests uint32
		Slots    uint32
		Estimate *Estimate
	}
)

// Has reports whether all marks of other are set.
func (m Marks) Has(other Marks) bool { return m&other == other }

// KeyOf returns the key of the service with the name.
func KeyOf(service string) ServiceKey { return ServiceKey(xxh3.HashString(service)) }

// KindOf returns the kind of the datagram. It is an error of class Error if the datagram
// is too short or has a wrong magic number, version or kind.
func KindOf(b []byte) (Kind, error) {
	if len(b) < 4 {
		return 0, Error.New("short datagram of %d bytes", len(b))
	}
	if b[0] != magic {
		return 0, Error.New("wrong magic 0x%02x", b[0])
	}
	if b[1] != version {
		return 0, Error.New("unknown version %d", b[1])
	}
	k := Kind(b[2])
	if k < KindPacket || k > KindLoad {
		return 0, Error.New("unknown kind %d", b[2])
	}
	return k, nil
}

// AppendPacket appends a datagram of KindPacket to b.
func AppendPacket(b []byte, h Header, packet []byte) []byte {
	return appendPacket(b, KindPacket, h, packet)
}

// AppendUnclaimed appends a datagram of KindUnclaimed to b, which returns the packet to
// its origin.
func AppendUnclaimed(b []byte, h Header, packet []byte) []byte {
	return appendPacket(b, KindUnclaimed, h, packet)
}

func appendPacket(b []byte, k Kind, h Header, packet []byte) []byte {
	b = append(b, magic, version, uint8(k), uint8(len(h.Visited)))
	b = binary.BigEndian.AppendUint64(b, h.Revision)
	b = binary.BigEndian.AppendUint64(b, h.Sender)
	b = binary.BigEndian.AppendUint64(b, h.Target)
	b = binary.BigEndian.AppendUint64(b, uint64(h.Service))
	var origin [4]byte
	if h.Origin.IsValid() {
		origin = h.Origin.Addr().As4()
	}
	b = append(b, origin[:]...)
	b = binary.BigEndian.AppendUint16(b, h.Origin.Port())
	b = append(b, uint8(h.Marks), h.Class)
	for _, instance := range h.Visited {
		b = binary.BigEndian.AppendUint64(b, instance)
	}
	return append(b, packet...)
}

// ParsePacket decodes a datagram of KindPacket or KindUnclaimed. The returned packet is a
// slice of b. The visited list is appended to visited, which may be nil. Errors are of
// class Error.
func ParsePacket(b []byte, visited []uint64) (Header, []byte, error) {
	k, err := KindOf(b)
	if err != nil {
		return Header{}, nil, err
	}
	if k != KindPacket && k != KindUnclaimed {
		return Header{}, nil, Error.New("kind %d is not a packet", k)
	}
	n := int(b[3])
	if n > MaxVisited {
		return Header{}, nil, Error.New("visited list of %d is over the limit of %d", n, MaxVisited)
	}
	if len(b) < HeaderBytes+n*instanceBytes {
		return Header{}, nil, Error.New("short header of %d bytes", len(b))
	}
	h := Header{
		Revision: binary.BigEndian.Uint64(b[4:]),
		Sender:   binary.BigEndian.Uint64(b[12:]),
		Target:   binary.BigEndian.Uint64(b[20:]),
		Service:  ServiceKey(binary.BigEndian.Uint64(b[28:])),
		Marks:    Marks(b[42]),
		Class:    b[43],
		Visited:  visited,
	}
	if port := binary.BigEndian.Uint16(b[40:]); port != 0 {
		h.Origin = netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[36:40])), port)
	}
	for i := range n {
		h.Visited = append(h.Visited, binary.BigEndian.Uint64(b[HeaderBytes+i*instanceBytes:]))
	}
	return h, b[HeaderBytes+n*instanceBytes:], nil
}

// AppendControl appends a datagram of KindControl with the sealed message to b.
func AppendControl(b, sealed []byte) []byte {
	b = append(b, magic, version, uint8(KindControl), 0)
	return append(b, sealed...)
}

// ParseControl returns the sealed message in a datagram of KindControl, a slice of b.
// Errors are of class Error.
func ParseControl(b []byte) ([]byte, error) {
	k, err := KindOf(b)
	if err != nil {
		return nil, err
	}
	if k != KindControl {
		return nil, Error.New("kind %d is not a control message", k)
	}
	return b[4:], nil
}

// AppendHeld appends a datagram of KindHeld to b.
func AppendHeld(b []byte, h Held) []byte {
	b = append(b, magic, version, uint8(KindHeld), heldFlags(h))
	b = h.Key.Append(b)
	b = binary.BigEndian.AppendUint64(b, h.Instance)
	b = binary.BigEndian.AppendUint32(b, h.Flows)
	b = binary.BigEndian.AppendUint32(b, h.Requests)
	b = binary.BigEndian.AppendUint32(b, h.Slots)
	b = binary.BigEndian.AppendUint64(b, h.ServerRun)
	b = binary.BigEndian.AppendUint32(b, h.Acknowledgment)
	return h.Estimate.append(b)
}

func heldFlags(h Held) uint8 {
	if h.Handshaking {
		return flagHandshaking
	}
	return 0
}

// ParseHeld decodes a datagram of KindHeld. Errors are of class Error.
func ParseHeld(b []byte) (Held, error) {
	k, err := KindOf(b)
	if err != nil {
		return Held{}, err
	}
	if k != KindHeld || len(b) < heldBytes {
		return Held{}, Error.New("kind %d with %d bytes is not the report of a held flow", k, len(b))
	}
	estimate, err := parseEstimate(b[heldBytes:])
	if err != nil {
		return Held{}, err
	}
	handshaking := b[3]&flagHandshaking != 0
	b = b[prefixBytes:]
	key, _ := ipv4.DecodeFlowKey(b[:ipv4.FlowKeyBytes])
	b = b[ipv4.FlowKeyBytes:]
	return Held{
		Key:            key,
		Instance:       binary.BigEndian.Uint64(b),
		Flows:          binary.BigEndian.Uint32(b[instanceBytes:]),
		Requests:       binary.BigEndian.Uint32(b[instanceBytes+4:]),
		Slots:          binary.BigEndian.Uint32(b[instanceBytes+8:]),
		ServerRun:      binary.BigEndian.Uint64(b[instanceBytes+12:]),
		Handshaking:    handshaking,
		Acknowledgment: binary.BigEndian.Uint32(b[instanceBytes+12+runBytes:]),
		Estimate:       estimate,
	}, nil
}

// AppendLoad appends a datagram of KindLoad to b.
func AppendLoad(b []byte, l Load) []byte {
	b = append(b, magic, version, uint8(KindLoad), 0)
	b = binary.BigEndian.AppendUint64(b, l.Instance)
	b = binary.BigEndian.AppendUint32(b, l.Flows)
	b = binary.BigEndian.AppendUint32(b, l.Requests)
	b = binary.BigEndian.AppendUint32(b, l.Slots)
	return l.Estimate.append(b)
}

// ParseLoad decodes a datagram of KindLoad. Errors are of class Error.
func ParseLoad(b []byte) (Load, error) {
	k, err := KindOf(b)
	if err != nil {
		return Load{}, err
	}
	if k != KindLoad || len(b) < loadBytes {
		return Load{}, Error.New("kind %d with %d bytes is not a load report", k, len(b))
	}
	estimate, err := parseEstimate(b[loadBytes:])
	if err != nil {
		return Load{}, err
	}
	b = b[prefixBytes:]
	return Load{
		Instance: binary.BigEndian.Uint64(b),
		Flows:    binary.BigEndian.Uint32(b[instanceBytes:]),
		Requests: binary.BigEndian.Uint32(b[instanceBytes+4:]),
		Slots:    binary.BigEndian.Uint32(b[instanceBytes+8:]),
		Estimate: estimate,
	}, nil
}
