package number

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestInt guards against a number out of range whose conversion is left to the processor.
func TestInt(t *testing.T) {
	everything := Range{Min: -math.MaxFloat64, Max: math.MaxFloat64}
	zero := 0.0
	for _, c := range []struct {
		v    float64
		r    Range
		want int
		ok   bool
	}{
		{0, Range{0, 10}, 0, true},
		{10, Range{0, 10}, 10, true},
		{9.99, Range{0, 10}, 9, true},
		{-0.5, Range{-1, 10}, 0, true},
		{-0.5, Range{0, 10}, 0, false},
		{10.01, Range{0, 10}, 0, false},
		{zero / zero, everything, 0, false},
		{1 / zero, Range{0, math.Inf(1)}, 0, false},
		{-1 / zero, Range{math.Inf(-1), 0}, 0, false},
		{1e300, everything, 0, false},
		{-1e300, everything, 0, false},
		{math.MaxInt, everything, 0, false},
		{math.MinInt, everything, math.MinInt, true},
		{1 << 53, everything, 1 << 53, true},
		{math.SmallestNonzeroFloat64, everything, 0, true},
	} {
		g := NewWithT(t)
		n, err := Int(c.v, c.r)
		g.Expect(err == nil).To(Equal(c.ok), "%v in %v", c.v, c.r)
		g.Expect(n).To(Equal(c.want), "%v in %v", c.v, c.r)
	}
}

// TestDuration guards against products of a number and a unit that overflow.
func TestDuration(t *testing.T) {
	zero := 0.0
	for _, c := range []struct {
		v           float64
		unit, limit time.Duration
		want        time.Duration
		ok          bool
	}{
		{0, time.Millisecond, time.Hour, 0, true},
		{250.5, time.Millisecond, time.Hour, 250_500 * time.Microsecond, true},
		{3600, time.Second, time.Hour, time.Hour, true},
		{3600.001, time.Second, time.Hour, 0, false},
		{-0.001, time.Second, time.Hour, 0, false},
		{zero / zero, time.Second, time.Hour, 0, false},
		{1 / zero, time.Second, math.MaxInt64, 0, false},
		{1e300, time.Millisecond, time.Hour, 0, false},
		{-1e300, time.Millisecond, time.Hour, 0, false},
		{math.MaxInt64, time.Nanosecond, math.MaxInt64, math.MaxInt64, true},
		{math.MaxInt64, time.Second, math.MaxInt64, 0, false},
		{math.SmallestNonzeroFloat64, time.Second, time.Hour, 0, true},
	} {
		g := NewWithT(t)
		d, err := Duration(c.v, c.unit, c.limit)
		g.Expect(err == nil).To(Equal(c.ok), "%v x %v up to %v", c.v, c.unit, c.limit)
		g.Expect(d).To(Equal(c.want), "%v x %v up to %v", c.v, c.unit, c.limit)
	}
}

// FuzzConversions guards against a result outside the range that was asked for.
func FuzzConversions(f *testing.F) {
	f.Add(1e300, -1.0, 1.0)
	f.Fuzz(func(t *testing.T, v, low, high float64) {
		if n, err := Int(v, Range{low, high}); err == nil && (math.Trunc(low) > float64(n) || float64(n) > high && n != 0) {
			t.Fatalf("%v in [%v, %v] became %d", v, low, high, n)
		}
		if d, err := Duration(v, time.Millisecond, time.Hour); err == nil && (d < 0 || d > time.Hour) {
			t.Fatalf("%v ms became %v", v, d)
		}
	})
}
