package capsule

import (
	"bytes"
	"encoding/binary"
	"math"
	"net/netip"
	"reflect"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/common/protocol/ipv4"
)

var (
	sampleEstimate = Estimate{
		Wait: 22500 * time.Microsecond, Penalty: 30 * time.Millisecond, Service: 30123 * time.Microsecond, Busy: 0.875,
		Refusals: []Refusal{
			{Class: 7, Own: 5 * time.Millisecond, Remote: 100 * time.Millisecond},
			{Class: 255, Remote: 17 * time.Millisecond},
			{},
		},
	}
	sampleEnd  = netip.MustParseAddrPort("192.0.2.1:80")
	sampleHeld = Held{
		Key: ipv4.FlowKey{Caller: sampleEnd, Service: sampleEnd}, Instance: 11, Flows: 13, Requests: 17, Slots: 19,
		ServerRun: 23, Acknowledgment: 29,
	}
	sampleLoad = Load{Instance: 11, Flows: 13, Requests: 17, Slots: 19}
)

// TestEstimateRoundTrip guards against an estimate that is lost or changed in a report, or changes the
// report's other fields.
func TestEstimateRoundTrip(t *testing.T) {
	full := Estimate{Wait: time.Second}
	for i := range maxRefusals {
		full.Refusals = append(full.Refusals, Refusal{Class: uint8(i), Own: time.Duration(i) * time.Millisecond})
	}
	for i, e := range []*Estimate{nil, {}, &sampleEstimate, &full} {
		g := NewWithT(t)
		held, load := sampleHeld, sampleLoad
		held.Handshaking = i%2 == 0
		held.Estimate, load.Estimate = e, e
		parsedHeld, err := ParseHeld(AppendHeld(nil, held))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(parsedHeld).To(Equal(held))
		parsedLoad, err := ParseLoad(AppendLoad(nil, load))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(parsedLoad).To(Equal(load))
	}
}

// TestEstimateLayout guards against a change of the layout, which processes of other versions would
// misread.
func TestEstimateLayout(t *testing.T) {
	want := []byte{
		0, 0, 0x57, 0xe4, // 22,500 us
		0, 0, 0x75, 0x30, // 30,000 us
		0, 0, 0x75, 0xab, // 30,123 us
		0x03, 0x6b, // 875 in 1000
		3,
		7, 0, 5, 0, 100,
		255, 0, 0, 0, 17,
		0, 0, 0, 0, 0,
	}
	NewWithT(t).Expect(sampleEstimate.append(nil)).To(Equal(want))
}

// TestReportWithoutEstimate guards against reports that earlier versions reject, as they have an
// estimate which the origin did not ask for.
func TestReportWithoutEstimate(t *testing.T) {
	g := NewWithT(t)
	g.Expect(AppendHeld(nil, sampleHeld)).To(HaveLen(heldBytes))
	g.Expect(AppendLoad(nil, sampleLoad)).To(HaveLen(loadBytes))
}

// TestEstimateOutOfRange guards against values that wrap around when they are encoded: a long wait
// would become a short one.
func TestEstimateOutOfRange(t *testing.T) {
	const longestWait, longestRefusal = math.MaxUint32 * time.Microsecond, math.MaxUint16 * time.Millisecond
	tooMany := make([]Refusal, maxRefusals+200)
	for i := range tooMany {
		tooMany[i].Class = uint8(i)
	}
	for _, c := range []struct {
		name    string
		e, want Estimate
	}{
		{
			"negative",
			Estimate{
				Wait: -1, Penalty: math.MinInt64, Service: -time.Hour, Busy: -1,
				Refusals: []Refusal{{Own: -1, Remote: -time.Hour}},
			},
			Estimate{Refusals: []Refusal{{}}},
		},
		{
			"too long",
			Estimate{Wait: longestWait + time.Microsecond, Penalty: math.MaxInt64, Service: 2 * time.Hour},
			Estimate{Wait: longestWait, Penalty: longestWait, Service: longestWait},
		},
		{
			"too long a refusal",
			Estimate{Refusals: []Refusal{{Own: longestRefusal + time.Millisecond, Remote: math.MaxInt64}}},
			Estimate{Refusals: []Refusal{{Own: longestRefusal, Remote: longestRefusal}}},
		},
		{
			"below the resolution",
			Estimate{Wait: 999, Refusals: []Refusal{{Own: 999 * time.Microsecond}}},
			Estimate{Refusals: []Refusal{{}}},
		},
		{"busy beyond the slots", Estimate{Busy: 1.5}, Estimate{Busy: 1}},
		{"busy without bound", Estimate{Busy: math.Inf(1)}, Estimate{Busy: 1}},
		{"busy not known", Estimate{Busy: math.NaN()}, Estimate{}},
		{"too many refusals", Estimate{Refusals: tooMany}, Estimate{Refusals: tooMany[:maxRefusals]}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			parsed, err := parseEstimate(c.e.append(nil))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(*parsed).To(Equal(c.want))
		})
	}
}

// TestBusyShare guards against a share that becomes smaller each time it is passed on.
func TestBusyShare(t *testing.T) {
	for n := range uint16(permille + 1) {
		e := Estimate{Busy: float64(n) / permille}
		if got := binary.BigEndian.Uint16(e.append(nil)[12:]); got != n {
			t.Fatalf("%d in 1000 became %d", n, got)
		}
	}
}

// TestParseMalformedEstimate guards against estimates that are read beyond their end, and against a
// busy share above 1.
func TestParseMalformedEstimate(t *testing.T) {
	valid := sampleEstimate.append(nil)
	withCount := func(n byte, more int) []byte {
		b := append(bytes.Clone(valid), make([]byte, more)...)
		b[estimateBytes-1] = n
		return b
	}
	for _, c := range []struct {
		name, want string
		b          []byte
	}{
		{"one byte", "capsule: short estimate of 1 bytes", valid[:1]},
		{"no count", "capsule: short estimate of 14 bytes", valid[:estimateBytes-1]},
		{"no refusals", "capsule: estimate of 15 bytes has 3 refusals", valid[:estimateBytes]},
		{"short refusal", "capsule: estimate of 29 bytes has 3 refusals", valid[:len(valid)-1]},
		{"more refusals than bytes", "capsule: estimate of 30 bytes has 4 refusals", withCount(4, 0)},
		{"too many refusals", "capsule: estimate of 1030 bytes has 65 refusals", withCount(65, 1000)},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := parseEstimate(c.b)
			g.Expect(err).To(MatchError(c.want))
			_, err = ParseHeld(append(AppendHeld(nil, sampleHeld), c.b...))
			g.Expect(err).To(MatchError(c.want))
			_, err = ParseLoad(append(AppendLoad(nil, sampleLoad), c.b...))
			g.Expect(err).To(MatchError(c.want))
		})
	}
	g := NewWithT(t)
	b := bytes.Clone(valid)
	binary.BigEndian.PutUint16(b[12:], math.MaxUint16)
	e, err := parseEstimate(b)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(e.Busy).To(Equal(1.0))
}

// TestLaterEstimate guards against an estimate of a later version, with more fields, that is not read.
func TestLaterEstimate(t *testing.T) {
	g := NewWithT(t)
	e, err := parseEstimate(append(sampleEstimate.append(nil), 1, 2, 3))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(*e).To(Equal(sampleEstimate))
}

// checkEstimate fails unless the estimate, which was parsed from the start of b, has the same encoding
// again. Only a busy share above 1 and bytes after the estimate may get lost.
func checkEstimate(t *testing.T, e *Estimate, b []byte) {
	t.Helper()
	if e == nil {
		if len(b) > 0 {
			t.Fatal("an estimate was left out")
		}
		return
	}
	encoded := e.append(nil)
	b = bytes.Clone(b)
	busy := binary.BigEndian.Uint16(b[12:])
	binary.BigEndian.PutUint16(b[12:], min(busy, permille))
	if !bytes.HasPrefix(b, encoded) {
		t.Fatalf("% x became % x", b, encoded)
	}
	again, err := parseEstimate(encoded)
	if err != nil || !reflect.DeepEqual(again, e) {
		t.Fatalf("%+v became %+v: %v", e, again, err)
	}
}

// FuzzParseEstimate guards against a malformed estimate that ends the process, or has values out of
// range.
func FuzzParseEstimate(f *testing.F) {
	f.Add([]byte{})
	f.Add((&Estimate{}).append(nil))
	f.Add(sampleEstimate.append(nil))
	f.Add(sampleEstimate.append(nil)[:20])
	f.Add(append(sampleEstimate.append(nil), 1))
	f.Fuzz(func(t *testing.T, b []byte) {
		e, err := parseEstimate(b)
		if err != nil {
			return
		}
		checkEstimate(t, e, b)
		if e == nil {
			return
		}
		if e.Wait < 0 || e.Penalty < 0 || e.Service < 0 || !(e.Busy >= 0 && e.Busy <= 1) || len(e.Refusals) > maxRefusals {
			t.Fatalf("estimate %+v", e)
		}
		for _, r := range e.Refusals {
			if r.Own < 0 || r.Remote < 0 {
				t.Fatalf("refusal %+v", r)
			}
		}
	})
}

// FuzzParseReports guards against a malformed report that ends the process, and against one that
// changes when it is encoded again.
func FuzzParseReports(f *testing.F) {
	f.Add(AppendHeld(nil, sampleHeld))
	f.Add(AppendLoad(nil, sampleLoad))
	f.Add(sampleEstimate.append(AppendHeld(nil, sampleHeld)))
	f.Add(sampleEstimate.append(AppendLoad(nil, sampleLoad)))
	f.Add(append(sampleEstimate.append(AppendLoad(nil, sampleLoad)), 1))
	f.Fuzz(func(t *testing.T, b []byte) {
		if l, err := ParseLoad(b); err == nil {
			checkEstimate(t, l.Estimate, b[loadBytes:])
			l.Estimate = nil
			if !bytes.Equal(AppendLoad(nil, l)[prefixBytes:], b[prefixBytes:loadBytes]) {
				t.Fatal("a load report changed when it was encoded again")
			}
		}
		if h, err := ParseHeld(b); err == nil {
			checkEstimate(t, h.Estimate, b[heldBytes:])
			h.Estimate = nil
			if !bytes.Equal(AppendHeld(nil, h)[prefixBytes:], b[prefixBytes:heldBytes]) {
				t.Fatal("the report of a held flow changed when it was encoded again")
			}
		}
	})
}
