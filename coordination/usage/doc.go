// Package usage counts the requests that began to run, by customer and window of true time,
// and reports each window's counts once.
//
// Each host counts in its own memory (Counter) and tells its counts, which only grow, to a
// collector: one of two hosts of its failure domain that all hosts compute alike. A host that
// is lost takes with it what it has counted since it told last, half a second. The holder of
// the duties' lease (Reporter) asks the collectors once a window has ended, adds up what each
// run of a host has counted there, and decides the report: one conditional write of the one
// object that keeps the recent reports. Only what was decided is sent, bit for bit as it was
// decided, by whoever holds the lease, until the receiver has confirmed it.
//
// A window is decided in its turn or never again: the object keeps how far windows were
// decided, so that neither a late write nor the removal of an old report lets one be decided
// twice.
package usage
