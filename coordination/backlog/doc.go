// Package backlog predicts, in time instead of requests, what waits at an engine: how
// long a prompt that is added now waits, and how long its reading takes.
//
// An Estimator learns the time of a reading from those that have ended: a constant, a
// part for each token, and one for each pair of tokens that attention compares. A Queue
// keeps what is under way at one engine, how fast that engine is against the others, and
// which shared parts of prompts it is believed to keep.
//
// Predictions only help to choose and to order: a wrong one costs time and breaks no
// promise.
package backlog
