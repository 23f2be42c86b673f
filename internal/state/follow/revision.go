package follow

import "errors"

// Revision is the number of changes in the store within an era of the store. A store that
// is restored from a backup copy begins a new era and assigns the lost counts again. A
// revision of a later era is higher than all revisions of earlier eras.
type Revision uint64

// countBits is the number of bits of a revision that hold the count. They last for five
// years at 100,000 changes per second.
const countBits = 44

// ErrNewEra is returned if the store has begun a new era, because the changes after a
// revision of an earlier era are then not available.
var ErrNewEra = errors.New("follow: store has a new era after a restore from a backup copy")

// NewRevision returns the revision with the given era and count.
func NewRevision(era, count uint64) Revision {
	return Revision(era<<countBits | count&(1<<countBits-1))
}

// Era returns the era of the revision.
func (r Revision) Era() uint64 { return uint64(r) >> countBits }

// Count returns the count of changes within the era.
func (r Revision) Count() uint64 { return uint64(r) & (1<<countBits - 1) }
