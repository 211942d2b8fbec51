// Package rebalance decides when an engine changes its role (prefill, decode or
// mixed) to match the demand of its service.
//
// Decide is a pure function. From the demand for prefill and decode work over a
// short and a long window and from the capacity of each role it predicts how many
// more requests would meet their deadline within a horizon if one engine had
// another role. It subtracts the requests missed while that engine drains and
// changes, and the cost that the service sets for a change, and proposes the
// change with the highest net gain if that gain is large enough. Manager calls
// Decide at a fixed interval and passes its proposals to an OrderIssuer; the
// safety checks on an order are made there and not in this package.
package rebalance
