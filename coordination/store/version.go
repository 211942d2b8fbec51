package store

import (
	"fmt"
	"strconv"
)

// A version or revision is a number with an epoch in its upper and the store's own revision in its
// lower bits. A store that is restored from a backup assigns its revisions again to other
// changes, and its states from then on are newer than all before. The epoch rises with each
// restoration, so that versions are ordered like the store's states and can be compared as plain
// numbers. Only code that calls a store or formats a version for an operator splits them.
const (
	revisionBits = 40
	// MaxEpoch and MaxRevision bound the two parts: 400 writes a second use up MaxRevision in 87
	// years.
	MaxEpoch    = 1<<(64-revisionBits) - 1
	MaxRevision = 1<<revisionBits - 1
)

// MakeVersion returns the version for a revision in an epoch of the store.
func MakeVersion(epoch, revision uint64) uint64 { return epoch<<revisionBits | revision&MaxRevision }

// EpochOf returns the epoch of a version: how often the store had been restored by then.
func EpochOf(version uint64) uint64 { return version >> revisionBits }

// RevisionOf returns the store's own revision of a version.
func RevisionOf(version uint64) uint64 { return version & MaxRevision }

// RestoredBetween reports whether the store was restored between two versions; 0 stands for an unknown
// version, for which the result is false.
func RestoredBetween(before, after uint64) bool {
	return before != 0 && after != 0 && EpochOf(after) > EpochOf(before)
}

// FormatVersion formats a version as EPOCH/REVISION, or as REVISION for a store without epochs.
func FormatVersion(version uint64) string {
	if EpochOf(version) == 0 {
		return strconv.FormatUint(version, 10)
	}
	return fmt.Sprintf("%d/%d", EpochOf(version), RevisionOf(version))
}
