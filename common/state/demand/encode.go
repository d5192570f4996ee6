package demand

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"arbutusfront.dev/common/coordination/config"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
)

// maxEncoded bounds the messages of Encode, of about 50 bytes each, so that a heartbeat remains
// well below the size of a datagram. Services have a few classes.
const maxEncoded = 16

// Encode returns the figures of the kinds of which requests lacked capacity. Of more than
// maxEncoded, those with the most such requests are returned, and the sum of the others. Classes
// without a code, and that sum, have code 0.
func Encode(all []Figures, codes config.ClassCodes) []*controlv1.RequestDemand {
	affected := slices.DeleteFunc(slices.Clone(all), func(f Figures) bool { return f.affected() == 0 })
	if len(affected) > maxEncoded {
		slices.SortStableFunc(affected, func(a, b Figures) int { return cmp.Compare(b.affected(), a.affected()) })
		rest := Figures{}
		for _, f := range affected[maxEncoded-1:] {
			rest = rest.Plus(f)
		}
		affected = append(affected[:maxEncoded-1], rest)
	}
	encoded := make([]*controlv1.RequestDemand, 0, len(affected))
	for _, f := range affected {
		m := f.encode()
		m.Class = uint32(codes[f.Class])
		encoded = append(encoded, m)
	}
	return encoded
}

func (f Figures) encode() *controlv1.RequestDemand {
	m := &controlv1.RequestDemand{
		Remote: f.Remote, Waiting: uint32(f.Waiting), Admitted: uint32(f.Admitted), Waited: uint32(f.Waited),
		Deferred: uint32(f.Deferred), PassedOn: uint32(f.PassedOn),
		WaitMillis: millis(f.Last.Wait), AllowedMillis: millis(f.Last.Allowed),
	}
	for _, reason := range slices.Sorted(maps.Keys(f.Refused)) {
		m.Refused = append(m.Refused, &controlv1.RefusalCount{
			Reason: controlv1.RefusalReason(reason), Count: uint32(f.Refused[reason]),
		})
	}
	return m
}

// millis returns the duration in milliseconds, or the nearest number that can be encoded.
func millis(d time.Duration) uint32 {
	return uint32(max(0, min(d.Milliseconds(), math.MaxUint32)))
}

// EncodeWith returns the figures for a MemberStatus, with the service's routes of the class.
func (f Figures) EncodeWith(routes []string) *controlv1.RequestDemand {
	m := f.encode()
	m.Service, m.Routes = f.Service, routes
	m.RequestClass = EncodeClass(f.Class)
	return m
}

// EncodeClass returns the message of a request class.
func EncodeClass(c config.RequestClass) *controlv1.RequestClass {
	return &controlv1.RequestClass{
		TargetLatencyMillis: uint32(c.TargetLatencyMillis), TimeoutMillis: uint32(c.TimeoutMillis),
		Priority: uint32(c.Priority), Repeatable: c.Repeatable,
	}
}

// Decode returns the figures of a message. Without a request class in the message, the class is
// zero.
func Decode(m *controlv1.RequestDemand) Figures {
	c := m.GetRequestClass()
	f := Figures{
		Kind: Kind{
			Service: m.GetService(), Remote: m.GetRemote(),
			Class: config.RequestClass{
				TargetLatencyMillis: int(c.GetTargetLatencyMillis()), TimeoutMillis: int(c.GetTimeoutMillis()),
				Priority: int(c.GetPriority()), Repeatable: c.GetRepeatable(),
			},
		},
		Waiting: int(m.GetWaiting()), Admitted: int(m.GetAdmitted()), Waited: int(m.GetWaited()),
		Deferred: int(m.GetDeferred()), PassedOn: int(m.GetPassedOn()),
		Last: Refusal{
			Wait:    time.Duration(m.GetWaitMillis()) * time.Millisecond,
			Allowed: time.Duration(m.GetAllowedMillis()) * time.Millisecond,
		},
	}
	for _, r := range m.GetRefused() {
		f.addRefused(Reason(r.GetReason()), int(r.GetCount()))
	}
	return f
}
