package policy

// Bounds of policies. Together they bound the time and memory of a decision.
const (
	// MaxPolicies is the largest number of policies of a configuration.
	MaxPolicies = 32
	// MaxSourceBytes is the largest program.
	MaxSourceBytes = 4096
	// MaxNodes is the largest number of operations, names and values of a
	// program; each is evaluated at most once in a run.
	MaxNodes = 256
	// MaxHookNodes is the same for all programs of one hook together.
	MaxHookNodes = 2 * MaxNodes
	// MaxTextBytes is the longest text that a program can put together.
	MaxTextBytes = 512
	// MaxScoreSeconds is the largest amount, up or down, that a score policy may
	// add to one candidate.
	MaxScoreSeconds = 3600

	// parserNodes is the limit of the parser itself, which counts the parts of
	// candidate.failure_domain as three nodes; MaxNodes counts two.
	parserNodes = 2 * MaxNodes
	// memoryBudget is the largest number of list elements that a run may make.
	memoryBudget = 4 * MaxNodes
)
