package cost

// Recorded returns the number of durations of the class that were recorded. A seed does not count.
func (e *Estimator) Recorded(class uint8) uint64 {
	if d := e.classes[class]; d != nil {
		return d.recorded
	}
	return 0
}

// Forget removes what was learned of the class, when its code stands for another class from now on.
// The requests still count for the mean of all classes.
func (e *Estimator) Forget(class uint8) { e.classes[class] = nil }
