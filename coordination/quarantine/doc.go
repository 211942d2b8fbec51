// Package quarantine holds requests that crash the runners which run them, so that they reach no
// further runner.
//
// A request is identified by its Digest, which is the same at every host. When a runner crashes,
// each host publishes the requests that it was running there, the suspects. A culprit runs at each
// of the crashes that it causes and is never answered. A bystander, which only ran beside a
// culprit, is answered when it is retried. Each host counts the crashes that all hosts report; a
// request that reaches the threshold is held, and every host refuses it at once. When a hold
// expires, the request is released on trial: its next crash holds it again, for twice as long.
//
// Holds spread in three ways, the fastest first. Notices report each crash to all hosts within
// milliseconds. A host that counts enough crashes, and saw at least one of them itself, also
// publishes the hold, for hosts that missed a notice. The platform's store has an entry for each
// held request, for hosts that start, rejoin or were partitioned from the others, until an operator
// releases the request or the hold expires.
package quarantine
