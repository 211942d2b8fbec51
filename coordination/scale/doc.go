// Package scale decides how many runners each service has in each failure domain, and of which
// kind: on-demand runners, or spot runners, which cost a fraction of the on-demand price and can
// be reclaimed by the platform at any time, all those of a failure domain at once.
//
// Plan computes the counts and uses neither clock nor network. Manager requests them from the
// platform while this host holds the lease.
package scale
