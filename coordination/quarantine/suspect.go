package quarantine

// Suspect is a request that ran at a runner when that crashed.
type Suspect struct {
	Digest Digest
	// Begun says that a part of the answer had arrived.
	Begun bool
}
