// Package era defines the revisions of the durable store. The store begins a new era when it
// is restored from an older copy.
package era

import (
	"strconv"

	"github.com/pkg/errors"
)

// Revision identifies a change of the store: the upper bits hold the era, the others the
// number of the change. After a restore from an older copy the store reuses numbers in a new
// era, so a number alone is ambiguous. Revisions compare as integers, by era first.
type Revision uint64

// numberBits is the number of bits for the number of a change. It allows 1.7 x 10^13 changes
// per era and a million eras.
const numberBits = 44

const (
	maxNumber = 1<<numberBits - 1
	maxEra    = 1<<(64-numberBits) - 1
)

// New returns the revision of a change in an era. It fails if either does not fit.
func New(era, number uint64) (Revision, error) {
	if era > maxEra || number > maxNumber {
		return 0, errors.Errorf("revision %d of era %d exceeds the maximum, %d of era %d; empty the store or widen the revision", number, era, uint64(maxNumber), uint64(maxEra))
	}
	return Revision(era<<numberBits | number), nil
}

// Era returns the era, 0 for a store without eras.
func (r Revision) Era() uint64 { return uint64(r >> numberBits) }

// Number returns the number of the change within its era.
func (r Revision) Number() uint64 { return uint64(r & maxNumber) }

// String returns the revision as "ERA.NUMBER", or only the number for a store without eras.
func (r Revision) String() string {
	number := strconv.FormatUint(r.Number(), 10)
	if r.Era() == 0 {
		return number
	}
	return strconv.FormatUint(r.Era(), 10) + "." + number
}
