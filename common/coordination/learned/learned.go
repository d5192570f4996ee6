// Package learned describes what agents have learned of the cost of requests, as processes pass it
// on to each other and to their next runs.
//
// # Usage
//
//	h.LearnedCosts = learned.Encode(costs, now)
//	costs := learned.Decode(h.GetLearnedCosts(), now)
//
// A cost belongs to a service and a request class. The class is identified by the key of its
// settings, not by its code, which may stand for another class in another revision. After a change
// of the configuration, a cost therefore applies to a class with exactly the same settings, whatever
// its code is now. A class whose settings have changed is a new one without a cost; the mean of all
// classes applies to it until its first answer.
package learned

import (
	"time"

	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/protocol/capsule"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/protocol/number"
)

const (
	// Lifetime is how long after the last request that it was learned from a cost is used.
	Lifetime = 10 * time.Minute
	// MaxPerService bounds the costs of a service: it has no more request classes.
	MaxPerService = 64
	// PerHeartbeat is how many costs an agent's heartbeat has, so that its size does not grow with
	// the number of classes. The heartbeats have them in turn.
	PerHeartbeat = 4
	// PerBalancerHeartbeat is the same for a balancer, which has the costs of all services. Its
	// heartbeats also go to other failure domains, where traffic is expensive: in a fleet of 126
	// members, each of which sends about 100 bytes a second there, 4 costs would add 74.
	PerBalancerHeartbeat = 1
	// MaxMean is the longest mean that is accepted: the limit for the timeout of a route.
	MaxMean = time.Hour
	// maxClockSkew is by how much the time of a stored cost may be ahead of this machine's clock.
	// Beyond it the age is unknown, as after a start with a clock that was not set yet.
	maxClockSkew = time.Minute
)

// Cost is the mean duration of the requests of one class of a service.
type Cost struct {
	// Service is 0 in messages about one service only.
	Service capsule.ServiceKey
	Class   config.ClassKey
	Mean    time.Duration
	// LearnedAt is when the last request was answered that the mean was learned from.
	LearnedAt time.Time
}

// IsValid reports whether the cost is young enough to be used.
func (c Cost) IsValid(now time.Time) bool { return now.Sub(c.LearnedAt) < Lifetime }

// WithService returns the cost as that of the service.
func (c Cost) WithService(s capsule.ServiceKey) Cost {
	c.Service = s
	return c
}

// Encode returns the valid costs with their age, for a message that is received at once.
func Encode(costs []Cost, now time.Time) []*controlv1.LearnedCost {
	var out []*controlv1.LearnedCost
	for _, c := range costs {
		if m := encode(c, now); m != nil {
			// Ages are rounded up by one to two seconds. A cost that balancers pass on to each
			// other would else become younger on the way, and never expire.
			m.AgeSeconds = uint32(max(0, now.Sub(c.LearnedAt))/time.Second) + 2
			out = append(out, m)
		}
	}
	return out
}

// EncodeStored returns the valid costs with the time at which they were learned, for a later run.
// The result does not depend on the current time, except by what has expired.
func EncodeStored(costs []Cost, now time.Time) []*controlv1.LearnedCost {
	var out []*controlv1.LearnedCost
	for _, c := range costs {
		if m := encode(c, now); m != nil {
			m.LearnedUnixSeconds = uint64(max(0, c.LearnedAt.Unix()))
			out = append(out, m)
		}
	}
	return out
}

// encode returns the cost without its time, or nil if it has expired or can't be represented.
func encode(c Cost, now time.Time) *controlv1.LearnedCost {
	if !c.IsValid(now) || c.Mean < time.Microsecond {
		return nil
	}
	return &controlv1.LearnedCost{
		ClassKey: uint64(c.Class), MeanMicros: uint64(c.Mean.Microseconds()), ServiceKey: uint64(c.Service),
	}
}

// Decode returns the costs in a message that was received now. Costs with a number that is out of
// range are dropped, and so are those beyond MaxPerService.
func Decode(messages []*controlv1.LearnedCost, now time.Time) []Cost {
	var out []Cost
	for _, m := range messages[:min(len(messages), MaxPerService)] {
		age, err := number.Duration(float64(m.GetAgeSeconds()), time.Second, Lifetime)
		if err != nil {
			continue
		}
		if c, ok := decode(m, now.Add(-age)); ok && c.IsValid(now) {
			out = append(out, c)
		}
	}
	return out
}

// DecodeStored returns the costs in a message that an earlier run has stored. Costs with a number
// that is out of range are dropped, and so are those that have expired meanwhile.
func DecodeStored(messages []*controlv1.LearnedCost, now time.Time) []Cost {
	var out []Cost
	for _, m := range messages {
		age := float64(now.Unix()) - float64(m.GetLearnedUnixSeconds())
		if age < -maxClockSkew.Seconds() {
			continue
		}
		since, err := number.Duration(max(0, age), time.Second, Lifetime)
		if err != nil {
			continue
		}
		if c, ok := decode(m, now.Add(-since)); ok && c.IsValid(now) {
			out = append(out, c)
		}
	}
	return out
}

func decode(m *controlv1.LearnedCost, learnedAt time.Time) (Cost, bool) {
	mean, err := number.Duration(float64(m.GetMeanMicros()), time.Microsecond, MaxMean)
	if err != nil || mean == 0 {
		return Cost{}, false
	}
	return Cost{
		Service: capsule.ServiceKey(m.GetServiceKey()), Class: config.ClassKey(m.GetClassKey()), Mean: mean,
		LearnedAt: learnedAt,
	}, true
}
