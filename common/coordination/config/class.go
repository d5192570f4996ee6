package config

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// maxClasses bounds the request classes of one service, so that each has a code of one
	// byte. If there are more, the classes of the fewest routes have none.
	maxClasses = 64
	// classCodes is the number of codes; code 0 stands for no class.
	classCodes = 255
)

type (
	// RequestClass describes the requests of a route: what their callers expect, and which of
	// them to prefer while there is too little capacity for all. The zero value means that
	// nothing is known of them.
	RequestClass struct {
		// TargetLatencyMillis is the time, from a caller's first SYN, within which a request is to
		// be answered; 0 means that there is no target.
		TargetLatencyMillis int `json:"target_latency_millis,omitempty"`
		// TimeoutMillis is how long callers wait for an answer; 0 means that it is not known.
		TimeoutMillis int `json:"timeout_millis,omitempty"`
		// Priority orders classes: 0 is the most important one.
		Priority int `json:"priority,omitempty"`
		// Repeatable is set if a request may be executed more than once.
		Repeatable bool `json:"repeatable,omitempty"`
	}

	// ClassKey identifies a request class by its settings, in all processes and revisions. A code
	// does not: when the classes of a service change, it may be given to another class.
	ClassKey uint64

	// ClassCodes has a code from 1 to 255 for each request class of a service. It is derived
	// from the classes alone, and a class mostly keeps its code when others are added or
	// removed: processes that have different revisions in force rarely differ about a code.
	ClassCodes map[RequestClass]uint8
)

// IsZero reports whether nothing is known of the requests.
func (c RequestClass) IsZero() bool { return c == RequestClass{} }

// TargetLatency returns the time within which a request is to be answered; 0 means none.
func (c RequestClass) TargetLatency() time.Duration {
	return time.Duration(c.TargetLatencyMillis) * time.Millisecond
}

// Timeout returns how long callers wait for an answer; 0 means that it is not known.
func (c RequestClass) Timeout() time.Duration {
	return time.Duration(c.TimeoutMillis) * time.Millisecond
}

// compare orders classes by priority, target latency, timeout and repeatability.
func (c RequestClass) compare(other RequestClass) int {
	repeatable := func(c RequestClass) int {
		if c.Repeatable {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(c.Priority, other.Priority), cmp.Compare(c.TargetLatencyMillis, other.TargetLatencyMillis),
		cmp.Compare(c.TimeoutMillis, other.TimeoutMillis), cmp.Compare(repeatable(c), repeatable(other)),
	)
}

// Key returns the key of the class. A class whose settings are changed becomes another class, with
// another key.
func (c RequestClass) Key() ClassKey { return ClassKey(c.hash()) }

// hash returns a hash of the class that is the same in all processes.
func (c RequestClass) hash() uint64 {
	b := binary.BigEndian.AppendUint64(nil, uint64(c.TargetLatencyMillis))
	b = binary.BigEndian.AppendUint64(b, uint64(c.TimeoutMillis))
	b = binary.BigEndian.AppendUint64(b, uint64(c.Priority))
	if c.Repeatable {
		b = append(b, 1)
	}
	return xxh3.Hash(b)
}

// NewClassCodes returns the codes of the classes. Two classes with the same hash code get
// adjacent codes.
func NewClassCodes(classes []RequestClass) ClassCodes {
	codes := make(ClassCodes, len(classes))
	taken := make(map[uint8]bool, len(classes))
	for _, c := range slices.SortedFunc(slices.Values(classes), RequestClass.compare) {
		if _, known := codes[c]; known || c.IsZero() || len(codes) == maxClasses {
			continue
		}
		code := uint8(c.hash()%classCodes) + 1
		for taken[code] {
			code = code%classCodes + 1
		}
		taken[code] = true
		codes[c] = code
	}
	return codes
}

// ByCode returns the classes by their code.
func (codes ClassCodes) ByCode() map[uint8]RequestClass {
	byCode := make(map[uint8]RequestClass, len(codes))
	for c, code := range codes {
		byCode[code] = c
	}
	return byCode
}

// Classes returns the request classes of each service's routes, in order. Services without
// classes are left out. Of more than maxClasses, those of the most routes are returned.
func (c Config) Classes() map[string][]RequestClass {
	routes := make(map[string]map[RequestClass]int)
	for _, r := range c.AllRoutes() {
		if r.Requests.IsZero() {
			continue
		}
		for _, t := range r.Targets {
			if routes[t.Service] == nil {
				routes[t.Service] = make(map[RequestClass]int)
			}
			routes[t.Service][r.Requests]++
		}
	}
	byService := make(map[string][]RequestClass, len(routes))
	for service, counts := range routes {
		byService[service] = mostUsed(counts)
	}
	return byService
}

// mostUsed returns the classes with the highest counts, maxClasses at most, in order.
func mostUsed(counts map[RequestClass]int) []RequestClass {
	classes := slices.SortedFunc(maps.Keys(counts), func(a, b RequestClass) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), a.compare(b))
	})
	classes = classes[:min(len(classes), maxClasses)]
	slices.SortFunc(classes, RequestClass.compare)
	return classes
}
