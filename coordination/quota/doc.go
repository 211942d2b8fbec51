// Package quota enforces the quotas of customers over all hosts together.
//
// Each customer's quota is kept by a few replicas, hosts that every host derives from the list of
// hosts alike. A replica keeps a token bucket (Ledger). A request is charged to all replicas and
// admitted if a majority of them has the units for it (Limiter). A replica that had not is charged
// all the same if the majority had, and replicas that had are refunded if the majority had not, so
// that all replicas that are reachable agree on what was admitted.
//
// Two majorities of the same replicas have a member in common. The quota therefore holds while
// hosts are partitioned: at most one side reaches a majority. The loss of one replica of three
// refuses no request. Hosts that reach no majority admit only what fits into their part of a small
// allowance, which all hosts could use at once without exceeding what the agreement tolerates
// above the quota.
//
// A replica assumes no earlier knowledge: a bucket starts empty at the moment at which the host
// became a replica, so that a restart never grants units a second time. A replica that was
// suspended may have too many units, but not without the others of its majority.
package quota
