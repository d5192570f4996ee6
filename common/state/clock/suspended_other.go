//go:build !linux

package clock

import "time"

// suspended returns 0: suspensions are not known on this system.
func suspended() time.Duration { return 0 }
