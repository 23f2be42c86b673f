package follow

import "errors"

// Revision is a count of the store's changes within an era of the store. A store that
// comes back from a copy begins a new era, in which it gives out again the counts that
// it has lost; a revision of a later era is higher than all of earlier ones.
type Revision uint64

// countBits is how many bits of a revision hold the count: at 100,000 changes a second
// they last for five years.
const countBits = 44

// ErrEra says that the store has begun a new era, so that changes after a revision of
// an earlier one are not to be had.
var ErrEra = errors.New("follow: the store has come back from a copy")

// NewRevision returns the revision of a count within an era.
func NewRevision(era, count uint64) Revision {
	return Revision(era<<countBits | count&(1<<countBits-1))
}

// Era returns the era of the revision.
func (r Revision) Era() uint64 { return uint64(r) >> countBits }

// Count returns the count of changes within the era.
func (r Revision) Count() uint64 { return uint64(r) & (1<<countBits - 1) }
