package store

import (
	"fmt"
	"strconv"
)

// Versions and revisions are numbers whose order is that of the store's states. A store that is
// restored from an older copy gives its revisions out again for other changes, and its states from
// then on are newer than all before: the epoch, which rises with each restoration, counts before
// the revision. Numbers are compared as they are; only the parts that speak to a store or to an
// operator take them apart.
const (
	revisionBits = 40
	// MaxEpoch and MostRevision bound the parts: 400 writes a second use up MostRevision in 87
	// years.
	MaxEpoch    = 1<<(64-revisionBits) - 1
	MaxRevision = 1<<revisionBits - 1
)

// MakeVersion is the number of a revision in an epoch of the store.
func MakeVersion(epoch, revision uint64) uint64 { return epoch<<revisionBits | revision&MaxRevision }

// EpochOf is how often the store had been restored at a version.
func EpochOf(version uint64) uint64 { return version >> revisionBits }

// RevisionOf is the store's own number of a version.
func RevisionOf(version uint64) uint64 { return version & MaxRevision }

// RestoredBetween reports whether the store was restored after one version and before another; 0 stands
// for a version that isn't known.
func RestoredBetween(before, after uint64) bool {
	return before != 0 && after != 0 && EpochOf(after) > EpochOf(before)
}

// FormatVersion writes a version for a reader, as EPOCH/REVISION; stores that tell no epoch have
// revisions only.
func FormatVersion(version uint64) string {
	if EpochOf(version) == 0 {
		return strconv.FormatUint(version, 10)
	}
	return fmt.Sprintf("%d/%d", EpochOf(version), RevisionOf(version))
}
