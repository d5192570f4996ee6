package fabric

import (
	"time"

	"arbutusfront.dev/common/protocol/ipv4"
)

// Reasons for giving up SYNs.
const (
	dropShortOfCPU       ipv4.Reason = "short_of_cpu"
	dropShortOfBandwidth ipv4.Reason = "short_of_bandwidth"
)

const (
	// backlogTime is for how long a balancer must process full batches, one after the other, to
	// count as short of CPU. Within it, a core forwards several thousand packets, more than the
	// socket's buffer holds. What has gathered during a pause is processed earlier.
	backlogTime = 10 * time.Millisecond
	// renewedBacklogTime replaces backlogTime while some SYNs are given up, but not all.
	renewedBacklogTime = 2 * time.Millisecond
	// maxBatchTime bounds the processing time of a batch in that sum. A batch of 32 packets takes
	// about 0.1 ms; one that takes much longer includes a pause of the process, up to 86 ms on a
	// VM with 0.14 of a core.
	maxBatchTime = 500 * time.Microsecond
	// tightenTime is for how long full batches must be processed after the level has risen until
	// it rises again.
	tightenTime = 5 * time.Millisecond
	// maxSYNWait is the duration of a backlog from which its SYNs may have waited in the socket
	// for so long that their callers have repeated them.
	maxSYNWait = 200 * time.Millisecond

	// A process that has used up its part of a core is paused until the next period of the
	// scheduler, usually 100 ms long. A batch or a read that takes pauseTime includes such a
	// pause. If the socket's buffer loses packets at the same time, or up to maxPauseAge later, in
	// minShortIntervals with few others between them, the balancer counts as short of CPU. It may
	// have no backlog for long, as it catches up in the rest of the period.
	pauseTime   = 10 * time.Millisecond
	maxPauseAge = 200 * time.Millisecond
	// lossHold is for how long after such a loss the level does not fall. A level that falls at
	// once leads to losses in every second period.
	lossHold = 250 * time.Millisecond

	// A balancer counts as short of bandwidth after it has sent at linkNearPercent of the link's
	// rate for minShortIntervals.
	linkNearPercent = 90
	// interval is the shortest time for which bytes and lost packets are counted.
	interval          = 100 * time.Millisecond
	minShortIntervals = 3
	// slowStep is by how much the level rises in each interval near the link's rate, or with
	// losses although all SYNs are refused. The bytes of a flow follow its SYN by some intervals,
	// so a larger step gives up too much.
	slowStep = 25

	// Up to allGivenUp, a level is the percentage of SYNs that are given up, and refused if
	// possible. Above it, all are given up, and the excess is the percentage of them that are
	// dropped without a reset. Levels that are lower than either limit by less than levelMargin
	// are rounded up to it.
	allGivenUp  = 100
	allDropped  = 200
	levelMargin = 10
	// While nothing is short, the level falls by relaxStep in each relaxInterval: from allDropped
	// to 0 within 850 ms. With steps of 25 in 100 ms, TestOpenFlowsKeepTheirPackets showed losses at
	// a whole core.
	relaxStep     = 6
	relaxInterval = 25 * time.Millisecond

	bytesPerMegabit = 1e6 / 8
)

type (
	// overload decides whether a balancer is short of CPU or link bandwidth, and how many SYNs it
	// gives up, from observations of each batch of packets. The zero value is that of a balancer
	// that is short of nothing and whose link rate is unknown.
	overload struct {
		// linkRate is the rate of the link in bytes per second; 0 if unknown.
		linkRate float64
		// cpu and link are the levels at which SYNs are given up because either is short. The
		// higher one applies.
		cpu, link shedLevel
		// backlogSince is when the first of the successive full batches was read, backlog is
		// the time that their processing took, and tightenAt the backlog at which cpu rises.
		// All are zero after a batch that was not full, and after a read that waited: the
		// socket was empty then.
		backlogSince       time.Time
		backlog, tightenAt time.Duration
		// pausedAt is when the last pause ended.
		pausedAt time.Time
		// intervalBytes were sent, and intervalLost packets were lost, since intervalStart.
		// sentRate is the rate of the interval before in bytes per second.
		intervalStart time.Time
		intervalBytes int64
		intervalLost  uint64
		sentRate      float64
		// nearIntervals is how many intervals were near the link's rate, one after the other.
		nearIntervals int
		// lossIntervals grows by one with each interval in which pauses led to losses, up to
		// minShortIntervals, and falls by one with each other interval.
		lossIntervals int
		// observedAt is when the last batch had been processed.
		observedAt time.Time
		// remainder is the part of a SYN, in percent, that decide has left for the next batch.
		remainder int
	}

	// shedLevel says how many SYNs are given up, from 0 to allDropped.
	shedLevel struct {
		value int
		// fallsFrom is when the level was last changed, or until when it is held.
		fallsFrom time.Time
	}

	// batch is what a balancer observes of one batch of packets.
	batch struct {
		readAt time.Time
		// processing is how long it took after that to process and forward the packets.
		processing time.Duration
		// full is set if as many packets were read as one read returns.
		full bool
		// sentBytes were sent since the batch before, with the headers of UDP and IP.
		sentBytes int64
		// lost packets did not fit into the socket's buffer, and were noticed since the batch
		// before.
		lost uint64
	}

	// decision says what is done with the SYNs of a batch, which are ordered: first copies come
	// before repeated ones.
	decision struct {
		// forwarded is the number of leading SYNs that are forwarded.
		forwarded int
		// refused is the number of SYNs after them that are refused with a reset if they are
		// first copies. All others are dropped.
		refused int
	}
)

// newOverload returns the overload of a balancer whose link has the rate; 0 if unknown.
func newOverload(linkMbps float64) overload { return overload{linkRate: linkMbps * bytesPerMegabit} }

// reason returns why SYNs are given up, or an empty string if none are.
func (o *overload) reason() ipv4.Reason {
	switch {
	case o.level() == 0:
		return ""
	case o.cpu.value >= o.link.value:
		return dropShortOfCPU
	default:
		return dropShortOfBandwidth
	}
}

func (o *overload) level() int { return max(o.cpu.value, o.link.value) }

// begin records that a batch has been read. If waited is set, the read has found the socket empty. It
// must be called before decide.
func (o *overload) begin(readAt time.Time, waited bool) {
	switch {
	case waited:
		o.endBacklog()
		o.observeIdle(readAt)
	case readAt.Sub(o.observedAt) >= pauseTime:
		o.pausedAt = readAt
	}
}

// decide returns what is done with the SYNs of the batch that was read at the time. All are given up
// if they may have waited for maxSYNWait. They are not refused then: the caller's next copy may
// already have reached an agent.
func (o *overload) decide(readAt time.Time, syns int) decision {
	if o.level() == 0 {
		return decision{forwarded: syns}
	}
	if !o.backlogSince.IsZero() && readAt.Sub(o.backlogSince) >= maxSYNWait {
		return decision{}
	}
	if o.level() >= allGivenUp {
		return decision{refused: o.part(syns, allDropped-o.level())}
	}
	forwarded := o.part(syns, allGivenUp-o.level())
	return decision{forwarded: forwarded, refused: syns - forwarded}
}

// part returns the percentage of n, rounded down. The next call adds the remainder.
func (o *overload) part(n, percent int) int {
	sum := o.remainder + n*percent
	o.remainder = sum % allGivenUp
	return sum / allGivenUp
}

// observe records the batch after it has been processed.
func (o *overload) observe(b batch) {
	now := b.readAt.Add(b.processing)
	o.observedAt = now
	o.observeBacklog(b, now)
	if b.processing >= pauseTime {
		o.pausedAt = now
	}
	o.observeInterval(b, now)
	if o.level() == 0 {
		o.remainder = 0
	}
}

// observeIdle records that the socket was empty until now, if no batch has been observed for an
// interval.
func (o *overload) observeIdle(now time.Time) {
	if now.Sub(o.observedAt) >= interval {
		o.observe(batch{readAt: now})
	}
}

// observeBacklog updates the level at which CPU is short. Each step halves the share that is
// forwarded or, above allGivenUp, refused: a backlog lasts as long as that is too much.
func (o *overload) observeBacklog(b batch, now time.Time) {
	if !b.full {
		o.endBacklog()
		o.cpu.relax(now)
		return
	}
	if o.backlogSince.IsZero() {
		o.backlogSince, o.tightenAt = b.readAt, backlogTime
		if o.cpu.value > 0 && o.cpu.value < allGivenUp {
			o.tightenAt = renewedBacklogTime
		}
	}
	o.backlog += min(b.processing, maxBatchTime)
	if o.backlog >= o.tightenAt {
		o.cpu.raise((o.cpu.limit()-o.cpu.value)/2, now)
		o.tightenAt = o.backlog + tightenTime
	}
}

func (o *overload) endBacklog() { o.backlogSince, o.backlog, o.tightenAt = time.Time{}, 0, 0 }

// observeInterval counts what is observed over intervals, and updates the levels at the end of each.
func (o *overload) observeInterval(b batch, now time.Time) {
	if o.intervalStart.IsZero() {
		o.intervalStart = b.readAt
	}
	o.intervalBytes += b.sentBytes
	o.intervalLost += b.lost
	elapsed := now.Sub(o.intervalStart)
	if elapsed < interval {
		return
	}
	o.sentRate = float64(o.intervalBytes) / elapsed.Seconds()
	o.updateForRate(now)
	o.updateForLosses(now)
	o.intervalStart, o.intervalBytes, o.intervalLost = now, 0, 0
}

// updateForLosses raises the level at which CPU is short if pauses lead to losses again and again.
// Pauses may have other causes than the balancer's own work, so the level rises slowly once all SYNs
// are refused.
func (o *overload) updateForLosses(now time.Time) {
	if o.intervalLost == 0 || now.Sub(o.pausedAt) >= maxPauseAge {
		o.lossIntervals = max(0, o.lossIntervals-1)
		return
	}
	o.lossIntervals = min(minShortIntervals, o.lossIntervals+1)
	switch {
	case o.cpu.value == 0 && o.lossIntervals < minShortIntervals:
		return
	case o.cpu.value < allGivenUp:
		o.cpu.raise((allGivenUp-o.cpu.value)/2, now)
		o.tightenAt = o.backlog + tightenTime
		o.cpu.fallsFrom = now.Add(lossHold)
	default:
		o.cpu.raise(slowStep, now)
	}
}

// updateForRate updates the level at which bandwidth is short.
func (o *overload) updateForRate(now time.Time) {
	if o.linkRate == 0 || o.sentRate < o.linkRate*linkNearPercent/100 {
		o.nearIntervals = 0
		o.link.relax(now)
		return
	}
	o.nearIntervals++
	if o.link.value > 0 || o.nearIntervals >= minShortIntervals {
		o.link.raise(slowStep, now)
	}
}

// limit returns the level up to which the next step may raise it.
func (l *shedLevel) limit() int {
	if l.value < allGivenUp {
		return allGivenUp
	}
	return allDropped
}

func (l *shedLevel) raise(by int, now time.Time) {
	limit := l.limit()
	l.value = min(limit, l.value+by)
	if l.value > limit-levelMargin {
		l.value = limit
	}
	if now.After(l.fallsFrom) {
		l.fallsFrom = now
	}
}

// relax lowers the level by relaxStep for each relaxInterval since fallsFrom.
func (l *shedLevel) relax(now time.Time) {
	if steps := now.Sub(l.fallsFrom) / relaxInterval; l.value > 0 && steps > 0 {
		l.value = max(0, l.value-int(min(steps, allDropped))*relaxStep)
		l.fallsFrom = l.fallsFrom.Add(steps * relaxInterval)
	}
}
