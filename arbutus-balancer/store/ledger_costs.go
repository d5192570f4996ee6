package store

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"arbutusfront.dev/common/coordination/learned"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
)

// costShare is the share of a ledger, as its reciprocal, that costs may take. Flows get the rest: a
// full ledger loses a few flows, while without a share for costs, the balancers with the most flows
// would save none.
const costShare = 16

// costsField is the number of the field of a FlowLedger that has the costs.
var costsField = new(controlv1.FlowLedger).ProtoReflect().Descriptor().Fields().ByName("learned_costs").Number()

// encodeCosts encodes the costs as a ledger without flows. Those beyond maxBytes are left out.
func encodeCosts(costs []learned.Cost, maxBytes int, now time.Time) ([]byte, error) {
	ledger := new(controlv1.FlowLedger)
	size := 0
	for _, c := range learned.EncodeStored(costs, now) {
		size += protowire.SizeTag(costsField) + protowire.SizeBytes(proto.Size(c))
		if size > maxBytes {
			break
		}
		ledger.LearnedCosts = append(ledger.LearnedCosts, c)
	}
	return proto.Marshal(ledger)
}

// decodeCosts returns the costs in an encoded ledger; none if it can't be decoded.
func decodeCosts(b []byte, now time.Time) []learned.Cost {
	var ledger controlv1.FlowLedger
	if err := proto.Unmarshal(b, &ledger); err != nil {
		return nil
	}
	return learned.DecodeStored(ledger.GetLearnedCosts(), now)
}

// withoutCosts returns the ledgers without their costs. One that can't be decoded is unchanged.
func withoutCosts(ledgers map[string]groupLedger) map[string]groupLedger {
	out := make(map[string]groupLedger, len(ledgers))
	for name, l := range ledgers {
		l.encoded = removeField(l.encoded, costsField)
		out[name] = l
	}
	return out
}

// removeField returns an encoded message without the field, or b itself if it can't be decoded.
// Other fields are kept as they are, also those that this version does not know.
func removeField(b []byte, number protowire.Number) []byte {
	out := make([]byte, 0, len(b))
	for rest := b; len(rest) > 0; {
		field, _, n := protowire.ConsumeField(rest)
		if n < 0 {
			return b
		}
		if field != number {
			out = append(out, rest[:n]...)
		}
		rest = rest[n:]
	}
	return out
}
