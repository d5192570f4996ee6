package member

import (
	"time"

	"github.com/zeebo/xxh3"
)

// nameBits is the number of low bits of an instance that are a hash of the member's name.
// They distinguish processes that start at the same moment.
const nameBits = 16

// NewInstance returns the instance number of a process that starts at the given time. It
// increases with each start under the same name.
func NewInstance(name string, now time.Time) uint64 {
	const mask = 1<<nameBits - 1
	return uint64(now.UnixNano())&^mask | xxh3.HashString(name)&mask
}
