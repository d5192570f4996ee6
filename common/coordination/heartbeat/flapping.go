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
	n := len(a.lapses)
	return n == flapCount &&
		a.lapses[n-1].Sub(a.lapses[0]) < flapWindow &&
		a.now().Sub(a.lapses[n-1]) < steadyTime
}

// recordLapse records that an expired lease was renewed. a.mu must be held.
func (a *Announcer) recordLapse(now time.Time) {
	if len(a.lapses) == flapCount {
		a.lapses = a.lapses[1:]
	}
	a.lapses = append(a.lapses, now)
}
