// Package backlog predicts, as a duration and not as a number of requests, the prefill work that
// waits at an engine: how long a prompt that is added now waits, and how long its prefill takes.
//
// An Estimator learns the duration of a prefill from completed ones. The duration is the sum of
// a constant, a part for each token, and a part for each pair of tokens that attention compares.
// A Queue tracks the prompts in progress at one engine, the engine's lasting speed relative to the
// others, whether it is in a slow period, and the prompt parts that it is assumed to have cached.
//
// Predictions are only used to choose an engine and an order. A wrong one costs time but does
// not affect correctness.
package backlog
