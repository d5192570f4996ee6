// Package cost learns how long a backend server works on requests, by request class.
//
// # Usage
//
//	e := cost.NewEstimator()
//	e.Record(class, took)
//	mean := e.Mean(class)
//	rest := e.Remaining(class, elapsed)
//
// An Estimator learns two things apart from each other: how the durations of each class are
// distributed, which changes rarely, and how fast the backend server works at present, which
// applies to all classes and changes with a cold start or a noisy neighbour.
package cost

import (
	"math"
	"time"
)

const (
	// Durations are counted in buckets whose bounds grow by the factor bucketGrowth, from
	// firstBound on. The last one is unbounded.
	buckets      = 64
	firstBound   = 250 * time.Microsecond
	bucketGrowth = 1.2
	// binBits is the number of mantissa bits by which bucketOf finds a bucket. With 3 bits, the
	// bounds of a bin differ by a factor of 1.125 at most, which is less than bucketGrowth.
	binBits = 3
	// highShare is the share of requests that do not take longer than High.
	highShare = 0.9

	// retention is the factor by which a sample loses weight with each later one of its class.
	retention = 1 - 1.0/256
	// speedWeight is the weight of one sample in the moving average of the slowness. The mean of
	// a class shows half of a sudden change after 35 of its samples, the slowness after 50 to 66.
	speedWeight = 1.0 / 64
	// maxSpeedSample bounds the ratio of a sample to what was expected, so that one request of
	// the distribution's tail does not count as a change of speed.
	maxSpeedSample = 3
	// speedDecay is how much of the slowness each sample moves into the distribution of its
	// class. It keeps a lasting change from being attributed to the speed for good: half of it is
	// moved in 3,600 samples, as the distribution lags behind.
	speedDecay = 1.0 / 1024
	// Bounds of the slowness.
	minSlowness = 1.0 / 64
	maxSlowness = 64
	// minTailWeight is the weight of samples below which they count as none: weights decay, and
	// never reach zero.
	minTailWeight = 0.05
	// maxDuration bounds the durations that are recorded and expected. It is far above those of
	// requests; without it, sums of expected durations could overflow.
	maxDuration = time.Hour
)

type (
	// Estimator learns the durations of one backend server's requests. It is not safe for
	// concurrent use.
	Estimator struct {
		classes [256]*distribution
		// all has the requests of all classes.
		all distribution
		// slowness is the ratio of the current durations to those that the distributions show.
		slowness float64
	}

	// distribution counts samples by bucket. Durations are in seconds, at slowness 1.
	distribution struct {
		weights, sums [buckets]float64
		// tailWeights and tailSums are the totals of each bucket and those after it.
		tailWeights, tailSums [buckets + 1]float64
		// high is the duration that the share highShare of the samples does not exceed.
		high float64
		// recorded is the number of samples without a seed.
		recorded uint64
	}
)

var (
	// upperBound has the upper bounds of the buckets in seconds.
	upperBound = func() (bounds [buckets]float64) {
		for i := range bounds {
			bounds[i] = firstBound.Seconds() * math.Pow(bucketGrowth, float64(i))
		}
		return bounds
	}()
	// bucketOfBin has the bucket of the smallest duration of each bin. The bins are narrower than the
	// buckets, so that the durations of one are in that bucket or the next.
	bucketOfBin = func() []uint8 {
		last := binOf(upperBound[buckets-1])
		bins := make([]uint8, last+1)
		b := 0
		for i := range bins {
			for b < buckets-1 && binOf(upperBound[b]) < i {
				b++
			}
			bins[i] = uint8(b)
		}
		return bins
	}()
)

// NewEstimator returns an estimator without samples.
func NewEstimator() *Estimator { return &Estimator{slowness: 1} }

// Record adds the time that the backend server worked on a request of the class. A negative time is
// ignored: the clock was set back.
func (e *Estimator) Record(class uint8, took time.Duration) {
	if took < 0 {
		return
	}
	d := e.classes[class]
	if d == nil {
		d = new(distribution)
		e.classes[class] = d
	}
	seconds := min(took, maxDuration).Seconds()
	if mean := d.mean(); mean > 0 {
		// The mean is cut at the same bound as the sample. With the plain mean, a distribution with
		// a long tail would appear as a backend server that becomes faster.
		bound := maxSpeedSample * mean
		ratio := min(bound, seconds/e.slowness) / d.cutMean(bound)
		e.slowness *= 1 + speedWeight*(ratio-1)
		e.slowness += speedDecay * (1 - e.slowness)
		e.slowness = max(minSlowness, min(maxSlowness, e.slowness))
	}
	d.add(seconds / e.slowness)
	d.recorded++
	e.all.add(seconds / e.slowness)
}

// Seed sets the mean duration of a class that has no samples yet, as learned elsewhere.
func (e *Estimator) Seed(class uint8, mean time.Duration) {
	if mean <= 0 || e.classes[class] != nil {
		return
	}
	seconds := min(mean, maxDuration).Seconds() / e.slowness
	e.classes[class] = new(distribution)
	e.classes[class].add(seconds)
	e.all.add(seconds)
}

// Known reports whether there is a sample of any class.
func (e *Estimator) Known() bool { return e.all.tailWeights[0] > 0 }

// Mean returns the expected duration of a request of the class, or of all classes if the class
// has no samples; 0 if there are none at all.
func (e *Estimator) Mean(class uint8) time.Duration {
	return e.scale(e.distribution(class).mean())
}

// MeanOfAll returns the expected duration of a request of any class; 0 without samples.
func (e *Estimator) MeanOfAll() time.Duration { return e.scale(e.all.mean()) }

// High returns the duration that nine in ten requests of the class do not exceed, up to the width
// of a bucket.
func (e *Estimator) High(class uint8) time.Duration { return e.scale(e.distribution(class).high) }

// Remaining returns how much longer a request of the class is likely to take after it has
// taken elapsed.
func (e *Estimator) Remaining(class uint8, elapsed time.Duration) time.Duration {
	return e.scale(e.distribution(class).remaining(float64(elapsed) / (e.slowness * float64(time.Second))))
}

// Slowness returns the ratio of the current durations to the usual ones of this backend server.
func (e *Estimator) Slowness() float64 { return e.slowness }

// Classes returns the mean durations of the classes that have samples.
func (e *Estimator) Classes() map[uint8]time.Duration {
	out := make(map[uint8]time.Duration)
	for code, d := range e.classes {
		if d != nil {
			out[uint8(code)] = e.scale(d.mean())
		}
	}
	return out
}

func (e *Estimator) distribution(class uint8) *distribution {
	if d := e.classes[class]; d != nil {
		return d
	}
	return &e.all
}

func (e *Estimator) scale(seconds float64) time.Duration {
	return time.Duration(min(maxDuration.Seconds(), seconds*e.slowness) * float64(time.Second))
}

// add adds a sample of the duration, in seconds, and lets earlier samples lose weight.
func (d *distribution) add(seconds float64) {
	b := bucketOf(seconds)
	d.weights[b]++
	d.sums[b] += seconds
	var weight, sum float64
	for i := buckets - 1; i >= 0; i-- {
		d.weights[i] *= retention
		d.sums[i] *= retention
		weight += d.weights[i]
		sum += d.sums[i]
		d.tailWeights[i], d.tailSums[i] = weight, sum
	}
	for i := range buckets {
		if d.tailWeights[i+1] <= (1-highShare)*weight {
			d.high = upperBound[i]
			break
		}
	}
	if last := buckets - 1; d.high == upperBound[last] {
		// The last bucket has no upper bound.
		d.high = max(d.high, d.sums[last]/d.weights[last])
	}
}

func (d *distribution) mean() float64 {
	if d.tailWeights[0] == 0 {
		return 0
	}
	return d.tailSums[0] / d.tailWeights[0]
}

// cutMean returns the mean of the samples if those above the bound, in seconds, are replaced by it.
func (d *distribution) cutMean(bound float64) float64 {
	b := bucketOf(bound)
	sum := d.tailSums[0] - d.tailSums[b]
	sum += min(d.sums[b], d.weights[b]*bound) + d.tailWeights[b+1]*bound
	return sum / d.tailWeights[0]
}

// remaining returns the mean of the samples that are longer than elapsed, less elapsed. Beyond
// the longest sample it is half of elapsed, so that a request that never ends counts more and
// more.
func (d *distribution) remaining(elapsed float64) float64 {
	if d.tailWeights[0] == 0 {
		return 0
	}
	if elapsed <= 0 {
		return d.mean()
	}
	// The samples of elapsed's own bucket lie on both sides of it.
	first := bucketOf(elapsed) + 1
	if weight := d.tailWeights[first]; weight > minTailWeight {
		return max(0, d.tailSums[first]/weight-elapsed)
	}
	return elapsed / 2
}

// bucketOf returns the bucket of a duration in seconds: the first one whose upper bound is greater,
// or the last one.
func bucketOf(seconds float64) int {
	if seconds <= upperBound[0] {
		return 0
	}
	if seconds >= upperBound[buckets-1] {
		return buckets - 1
	}
	b := int(bucketOfBin[binOf(seconds)])
	if seconds >= upperBound[b] {
		b++
	}
	return b
}

// binOf returns the bin of a duration in seconds that is not below the first bound: the distance of
// its exponent and leading binBits mantissa bits to those of the first bound.
func binOf(seconds float64) int {
	const shift = 52 - binBits
	return int(math.Float64bits(seconds)>>shift) - int(math.Float64bits(firstBound.Seconds())>>shift)
}
