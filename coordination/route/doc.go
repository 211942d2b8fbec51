// Package route chooses the runner of a request from one immutable snapshot.View.
//
// A choice has three steps, as in the Gateway API Inference Extension: filters
// remove runners that must not be used, scorers add predicted seconds to the
// remaining candidates, and the candidate with the lowest score is picked. All
// runners of a service with up to SmallServiceRunners runners are compared. Of a
// larger service only a bounded number is compared (sampled runners and runners
// that hold a prefix of the prompt), so that the cost of a choice doesn't grow
// with the fleet.
//
// The Router keeps bounded statistics: the engines' speeds, the errors of earlier
// predictions, and which engine holds which cached prefix. They only affect the
// quality of choices, never their correctness, and may be lost at any time.
package route
