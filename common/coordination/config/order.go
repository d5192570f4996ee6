package config

// An Order is encoded in a revision number: the version in the upper bits, the change in the
// lower ones.
const (
	changeBits = 36
	maxVersion = 1<<(64-changeBits) - 1
	maxChange  = 1<<changeBits - 1
)

// Order orders configurations that another system writes, and that consist of a document with a
// version and of state without one, such as which failure domains are out. The version decides
// first: the store's counter of changes falls back when the store is restored from a backup,
// the version doesn't.
type Order struct {
	// Version is the document's version. Its author increases it with each change.
	Version uint64
	// Change is the position in the store's history up to which the state without a
	// version is known; 0 if it may be outdated.
	Change uint64
}

// OrderOf returns the order that a revision number encodes.
func OrderOf(number uint64) Order {
	return Order{Version: number >> changeBits, Change: number & maxChange}
}

// Number returns the revision number. Numbers compare like orders. It fails if the version or
// the change is too large to be encoded.
func (o Order) Number() (uint64, error) {
	if o.Version > maxVersion || o.Change > maxChange {
		return 0, Error.New(
			"version %d or change %d exceeds the largest that can be ordered, %d and %d",
			o.Version, o.Change, uint64(maxVersion), uint64(maxChange))
	}
	return o.Version<<changeBits | o.Change, nil
}
