// Package usage counts the requests that began to run, by customer and window of true time,
// and reports the counts of each window once.
//
// Each host counts in memory (Counter) and pushes its counts, which only grow, to a collector
// (Pusher, Collector). Each failure domain has two collectors, which all hosts derive from the
// host list alike. A lost host loses the counts since its last push, at most half a second of
// them. The holder of the duties' lease (Reporter) fetches the tallies of all collectors once
// a window has ended, sums the counts of all runs of hosts and decides the report by one
// conditional write to the single object that keeps the recent reports. Only decided reports
// are sent, unchanged, by the current holder of the lease, until the receiver confirms them.
//
// Windows are decided in order, each at most once: the object records the last window that was
// decided, so that neither a delayed write nor the eviction of an old report lets a window be
// decided twice.
package usage
