// Package number converts numbers from outside the process. Go leaves the result of a
// conversion that is out of range to the processor, so x86-64 and arm64 differ. The functions
// here return an error instead, and the same one everywhere.
//
// # Usage
//
//	slots, err := number.Int(body.Slots, number.Range{Min: 1, Max: maxSlots})
//	cold, err := number.Duration(body.ColdMillis, time.Millisecond, maxCold)
package number

import (
	"math"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("number")

// Range is the set of numbers that are accepted, both ends included.
type Range struct{ Min, Max float64 }

// Contains reports whether the number is in the range. NaN is in none.
func (r Range) Contains(v float64) bool { return v >= r.Min && v <= r.Max }

// Int returns the number rounded toward zero. It returns an error if the number is not in the
// range or not an int.
func Int(v float64, r Range) (int, error) {
	if !r.Contains(v) {
		return 0, Error.New("%v is not between %v and %v", v, r.Min, r.Max)
	}
	// float64(math.MaxInt) is rounded up, to a number that is not an int.
	if v < math.MinInt || v >= math.MaxInt {
		return 0, Error.New("%v is not a whole number that can be represented", v)
	}
	return int(v), nil
}

// Duration returns the duration of v units. It returns an error if that is negative or longer
// than limit.
func Duration(v float64, unit, limit time.Duration) (time.Duration, error) {
	units := Range{Max: float64(limit) / float64(unit)}
	if !units.Contains(v) {
		return 0, Error.New("%v is not between 0 and %v, in units of %v", v, units.Max, unit)
	}
	// The product may exceed the limit by its rounding error.
	d := v * float64(unit)
	if d >= float64(limit) {
		return limit, nil
	}
	return time.Duration(d), nil
}
