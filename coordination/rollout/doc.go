// Package rollout keeps the shared configuration of a host at the highest valid
// version that the platform or any peer has, and edits it.
//
// The configuration is a single object in the platform's store. The version of
// the object is the version of the configuration: a higher version replaces a
// lower one as a whole, and a host never returns to a lower one. The platform
// numbers the writes, so an edit is accepted when its conditional update takes
// effect, and every later edit is based on it.
//
// # The stored value
//
// Edit wraps the configuration in an Envelope with a unique nonce and the nonces
// of the prior edits. When the platform's answer to an edit is lost, the object is
// read back. The edit took effect if its nonce is the envelope's own or one of the
// prior edits. It didn't take effect if the prior edits reach back to its base
// version without it. Comparing the values isn't enough: two operators may write
// the same bytes, and a later edit overwrites an earlier one. A value without an
// envelope, written by another tool, is read as the configuration itself.
//
// # Crashes
//
// If a host crashes between the write and its answer, the edit may be accepted
// although its author gets no result. Hosts apply it like any other edit. A
// restarted host has no configuration in force until it applies the highest
// version that it finds.
package rollout
