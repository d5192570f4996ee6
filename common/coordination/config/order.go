package config

import (
	"cmp"
	"strconv"
)

type (
	// Order is the place of a revision among all revisions of a deployment. The zero Order
	// comes before all others and stands for no revision.
	//
	// Another system's configuration consists of a document with a version and of state
	// without one, such as which failure domains are out. The version decides first: the
	// store's counter of changes falls back when the store is restored from a backup, the
	// version doesn't.
	Order struct {
		// Version is the version that another system gave the document, which it increases
		// with each change; 0 in arbutusfront's own store.
		Version uint64
		// Number is the revision's number: in arbutusfront's own store, that of the revision
		// before plus one. In another system's, it is the position in the store's history up
		// to which the state without a version is known; 0 if it may be outdated.
		Number uint64
	}

	// numbered is a message that names a revision.
	numbered interface {
		GetConfigVersion() uint64
		GetRevision() uint64
	}
)

// OrderOf returns the order of the revision that the message names.
func OrderOf(m numbered) Order { return Order{Version: m.GetConfigVersion(), Number: m.GetRevision()} }

// Order returns the place of the revision among all others; a nil Revision comes before them.
func (r *Revision) Order() Order { return OrderOf(r.head()) }

// Compare returns -1 if o comes before other, 0 if they are equal, and 1 otherwise.
func (o Order) Compare(other Order) int {
	return cmp.Or(cmp.Compare(o.Version, other.Version), cmp.Compare(o.Number, other.Number))
}

// Before reports whether o comes before other.
func (o Order) Before(other Order) bool { return o.Compare(other) < 0 }

// IsZero reports whether o stands for no revision.
func (o Order) IsZero() bool { return o == Order{} }

// String returns the number, after the version if there is one, such as "7" or "2026120501.7".
func (o Order) String() string {
	number := strconv.FormatUint(o.Number, 10)
	if o.Version == 0 {
		return number
	}
	return strconv.FormatUint(o.Version, 10) + "." + number
}
