package member

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// Buckets is the number of groups that members are divided into by a hash of their
	// names. Two tables are compared by one digest per group, so that only the members
	// of differing groups are transferred.
	Buckets = 64

	// retention is how long the record of an ended incarnation remains in the table. Without
	// that record, late gossip would add the incarnation again as a live one.
	retention = 10 * time.Minute

	// CrashRestartTimeout is how long to wait for the next incarnation of a crashed process.
	// A restart takes about a second, most of which has passed when the crash is detected.
	CrashRestartTimeout = 500 * time.Millisecond
	// PlannedRestartTimeout is the same for a process that was stopped as planned.
	PlannedRestartTimeout = 4 * time.Second
)

type (
	// Snapshot is an immutable copy of the table.
	Snapshot struct {
		// Members are ordered by name, then by instance.
		Members []Member
		// Generation increases with each change of the table.
		Generation uint64
		// Digest is a hash of the members. Tables with equal members have equal digests.
		Digest uint64

		// once guards active, the balancers that are joining or serving.
		once   sync.Once
		active []Member
	}

	// Table contains the members that a process knows. It is safe for concurrent use.
	Table struct {
		mu      sync.Mutex
		now     func() time.Time
		entries map[ID]entry
		// lastEnded has the incarnation of each name that ended last.
		lastEnded  map[string]entry
		generation uint64
		snapshot   *Snapshot
		changed    chan struct{}
	}

	// entry is a member's record. endedAt is the time at which a record of a dead or
	// departed member was merged; it is zero while the member is alive.
	entry struct {
		member  Member
		endedAt time.Time
	}
)

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		now:       time.Now,
		entries:   make(map[ID]entry),
		lastEnded: make(map[string]entry),
		changed:   make(chan struct{}),
	}
}

// Merge adds a member's record if it supersedes the one in the table, and reports whether
// the table has changed.
func (t *Table) Merge(m Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.entries[m.ID()]
	if known && !m.supersedes(old.member) {
		return false
	}
	e := entry{member: m}
	if !m.Phase.Alive() {
		e.endedAt = t.now()
		t.lastEnded[m.Name] = e
	}
	t.entries[m.ID()] = e
	t.recordChange()
	return true
}

// Get returns the record of one incarnation, and whether the table contains it.
func (t *Table) Get(id ID) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	return e.member, ok
}

// EndedAt returns the time at which the table recorded that the incarnation is dead or has
// left. It is zero if the incarnation is alive or unknown.
func (t *Table) EndedAt(id ID) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries[id].endedAt
}

// MayReturn reports whether the next incarnation of the named process may still appear (see
// ReturnsUntil).
func (t *Table) MayReturn(name string, now time.Time) bool { return now.Before(t.ReturnsUntil(name)) }

// ReturnsUntil returns until when the next incarnation of the named process may still appear:
// CrashRestartTimeout after the end of the one that ended last, or PlannedRestartTimeout if it had
// left. It is zero if no incarnation has ended.
func (t *Table) ReturnsUntil(name string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	last, ok := t.lastEnded[name]
	switch {
	case !ok:
		return time.Time{}
	case last.member.Phase == Left:
		return last.endedAt.Add(PlannedRestartTimeout)
	default:
		return last.endedAt.Add(CrashRestartTimeout)
	}
}

// Expire removes the incarnations that ended longer ago than the retention time.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	cutoff := t.now().Add(-retention)
	maps.DeleteFunc(t.lastEnded, func(_ string, e entry) bool { return e.endedAt.Before(cutoff) })
	before := len(t.entries)
	for id, e := range t.entries {
		if !e.member.Phase.Alive() && e.endedAt.Before(cutoff) {
			delete(t.entries, id)
		}
	}
	if len(t.entries) != before {
		t.recordChange()
	}
}

// Changed returns a channel that is closed at the next change of the table.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Snapshot returns the current content of the table.
func (t *Table) Snapshot() *Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.snapshot == nil {
		t.snapshot = t.buildSnapshot()
	}
	return t.snapshot
}

// recordChange invalidates the snapshot and notifies those that wait for a change. t.mu
// must be held.
func (t *Table) recordChange() {
	t.generation++
	t.snapshot = nil
	close(t.changed)
	t.changed = make(chan struct{})
}

// buildSnapshot returns a new snapshot. t.mu must be held.
func (t *Table) buildSnapshot() *Snapshot {
	s := &Snapshot{Generation: t.generation, Members: make([]Member, 0, len(t.entries))}
	for _, e := range t.entries {
		s.Members = append(s.Members, e.member)
		s.Digest ^= e.member.digest()
	}
	slices.SortFunc(s.Members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Instance, b.Instance))
	})
	return s
}

// Find returns the record of one incarnation, and whether the snapshot contains it.
func (s *Snapshot) Find(id ID) (Member, bool) {
	i, ok := slices.BinarySearchFunc(s.Members, id, func(m Member, id ID) int {
		return cmp.Or(cmp.Compare(m.Name, id.Name), cmp.Compare(m.Instance, id.Instance))
	})
	if !ok {
		return Member{}, false
	}
	return s.Members[i], true
}

// Select returns the members for which keep returns true, in the snapshot's order.
func (s *Snapshot) Select(keep func(Member) bool) []Member {
	var out []Member
	for _, m := range s.Members {
		if keep(m) {
			out = append(out, m)
		}
	}
	return out
}

// BucketDigests returns one digest for each of the Buckets groups of members.
func (s *Snapshot) BucketDigests() []uint64 {
	digests := make([]uint64, Buckets)
	for _, m := range s.Members {
		digests[m.bucket()] ^= m.digest()
	}
	return digests
}

// Differing returns the members of the buckets whose digests differ from the given ones,
// which come from another table's BucketDigests. If their number is wrong, they are treated
// as those of an empty table.
func (s *Snapshot) Differing(digests []uint64) []Member {
	own := s.BucketDigests()
	if len(digests) != len(own) {
		digests = make([]uint64, len(own))
	}
	return s.Select(func(m Member) bool { return own[m.bucket()] != digests[m.bucket()] })
}

func (m Member) bucket() int { return int(xxh3.HashString(m.Name) % Buckets) }

// digest returns a hash of what identifies a record: name, instance, version and phase.
func (m Member) digest() uint64 {
	b := make([]byte, 0, 64)
	b = append(b, m.Name...)
	b = append(b, 0, uint8(m.Phase))
	b = binary.BigEndian.AppendUint64(b, m.Instance)
	b = binary.BigEndian.AppendUint64(b, m.Version)
	return xxh3.Hash(b)
}

// LiveDigest returns a digest of the live members in a list, which doesn't depend on their
// order.
func LiveDigest(members []Member) uint64 {
	var digest uint64
	for _, m := range members {
		if m.Phase.Alive() {
			digest ^= m.digest()
		}
	}
	return digest
}
