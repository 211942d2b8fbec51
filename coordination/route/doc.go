// Package route chooses the runner of a request from one immutable view.
//
// The choice is made in three steps, after the Gateway API Inference Extension:
// filters remove runners that may not be used, scorers add predicted seconds to
// those that are left, and a picker takes one. A service of up to SmallServiceRunners
// runners has all of them compared; of a larger one a bounded number of sampled
// runners and of holders of the prompt's prefix is compared, so that the cost of
// a choice doesn't grow with the fleet.
//
// What is learnt (engines' speeds, how far predictions are off, which engine
// holds which prefix) is kept in the Router, bounded, and guides only: losing it
// makes choices worse, never wrong.
package route
