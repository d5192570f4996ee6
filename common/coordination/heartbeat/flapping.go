package heartbeat

import "time"

const (
	// A process counts as flapping if its lease has expired and been renewed flapCount
	// times within flapWindow, until steadyTime has passed since the last renewal.
	flapCount  = 3
	flapWindow = time.Minute
	steadyTime = 10 * time.Second
)

// IsFlapping reports whether the process is repeatedly cut off from all its monitors. Flows
// that it admits while it is connected would soon be cut off.
func (a *Announcer) IsFlapping() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := len(a.lateRenewals)
	return n == flapCount &&
		a.lateRenewals[n-1].Sub(a.lateRenewals[0]) < flapWindow &&
		a.now().Sub(a.lateRenewals[n-1]) < steadyTime
}

// recordLateRenewal records that an expired lease was renewed. a.mu must be held.
func (a *Announcer) recordLateRenewal(now time.Time) {
	if len(a.lateRenewals) == flapCount {
		a.lateRenewals = a.lateRenewals[1:]
	}
	a.lateRenewals = append(a.lateRenewals, now)
}
