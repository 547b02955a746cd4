// Package era names places in the history of the durable store, which begins a new era when
// the store comes back from an older copy of itself.
package era

import (
	"strconv"

	"github.com/pkg/errors"
)

// Revision is a place in the store's history: the era in its upper bits, the number of the
// change in the others. A store that comes back from an older copy of itself begins a new
// era and gives numbers out again, so a bare number may stand for two different changes.
// Revisions are ordered by era first, and compare as integers.
type Revision uint64

// numberBits is how many bits hold the number: 1.7 x 10^13 changes an era, which leaves a
// million eras.
const numberBits = 44

const (
	maxNumber = 1<<numberBits - 1
	maxEra    = 1<<(64-numberBits) - 1
)

// New returns the revision of a change of an era.
func New(era, number uint64) (Revision, error) {
	if era > maxEra || number > maxNumber {
		return 0, errors.Errorf("revision %d of era %d is beyond %d of %d; empty the store or widen the revision", number, era, uint64(maxNumber), uint64(maxEra))
	}
	return Revision(era<<numberBits | number), nil
}

// Era returns the era; 0 for a store that names none.
func (r Revision) Era() uint64 { return uint64(r >> numberBits) }

// Number returns the number of the change within its era.
func (r Revision) Number() uint64 { return uint64(r & maxNumber) }

// String returns the revision as "ERA.NUMBER", or the number alone for a store that names
// no era.
func (r Revision) String() string {
	number := strconv.FormatUint(r.Number(), 10)
	if r.Era() == 0 {
		return number
	}
	return strconv.FormatUint(r.Era(), 10) + "." + number
}
