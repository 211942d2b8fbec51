// Package coordination groups the decisions of a serving fleet, a package each.
// They can be embedded without the daemon: they hold no global state, speak no
// HTTP, and are given their clock, random source and outside world through
// small interfaces.
package coordination
