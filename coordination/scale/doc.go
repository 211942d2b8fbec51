// Package scale decides how many runners of a service there are in each failure domain, and of
// which kind: on-demand runners, or spot runners, which cost a part of that and may be taken
// back, all those of a failure domain at once.
//
// Plan is the decision, without clock or network; Manager carries it out while it holds the
// lease of the duties.
package scale
