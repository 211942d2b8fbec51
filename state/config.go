package state

import (
	"fmt"
	"time"
)

// Bounds of the shared configuration.
const (
	// MaxDeadline is the longest deadline that a class or a caller may ask for.
	MaxDeadline = 10 * time.Minute
	// MaxConfigBytes is the platform's limit for one value.
	MaxConfigBytes = 1 << 20
)

// Config is the shared configuration: one versioned object at the platform,
// valid as a whole or not at all.
type Config struct {
	// Version is the platform's version of the object; it isn't stored in it.
	Version   uint64     `json:"-" msgpack:"v"`
	Services  []Service  `json:"services" msgpack:"s"`
	Classes   []Class    `json:"classes" msgpack:"c"`
	Customers []Customer `json:"customers" msgpack:"t"`
	Policies  []Policy   `json:"policies,omitempty" msgpack:"p"`
}

// Service is a group of runners that answer the same calls.
type Service struct {
	Name string       `json:"name" msgpack:"n"`
	Kind UpstreamKind `json:"kind" msgpack:"k"`
	// Models that callers may name; for engines only.
	Models []string `json:"models,omitempty" msgpack:"m"`
	// NotRepeatable marks calls that run at most once and need a key.
	NotRepeatable bool `json:"not_repeatable,omitempty" msgpack:"r"`
	// RetryShare is the retry budget as a share of the traffic (0.1 is 10%).
	RetryShare float64 `json:"retry_share,omitempty" msgpack:"b"`
	// GoodputWeight and RoleChangeWeight steer the rebalancer.
	GoodputWeight    float64 `json:"goodput_weight,omitempty" msgpack:"g"`
	RoleChangeWeight float64 `json:"role_change_weight,omitempty" msgpack:"h"`
	// MinPerRole is the least number of engines of each role, per failure domain.
	MinPerRole int `json:"min_per_role,omitempty" msgpack:"f"`
}

// Class groups requests of the same urgency.
type Class struct {
	Name string `json:"name" msgpack:"n"`
	// DeadlineMillis is the default deadline of the class.
	DeadlineMillis int64 `json:"deadline_ms" msgpack:"d"`
	// Urgent classes go first, within a bound.
	Urgent bool `json:"urgent,omitempty" msgpack:"u"`
	// Weight is the share among classes that are not urgent.
	Weight float64 `json:"weight,omitempty" msgpack:"w"`
}

// Deadline returns the default deadline of the class.
func (c Class) Deadline() time.Duration {
	return time.Duration(c.DeadlineMillis) * time.Millisecond
}

// PolicyHook is the decision that a policy takes part in.
type PolicyHook string

// The hooks of a policy.
const (
	HookClassify PolicyHook = "classify"
	HookAdmit    PolicyHook = "admit"
	HookScore    PolicyHook = "score"
	HookPin      PolicyHook = "pin"
)

// Policy is one operator's program.
type Policy struct {
	Name   string     `json:"name" msgpack:"n"`
	Hook   PolicyHook `json:"hook" msgpack:"h"`
	Source string     `json:"source" msgpack:"s"`
}

// ConfigError says which part of a configuration is wrong and how to mend it.
type ConfigError struct {
	// Where is the path of the part, for example services[2].name.
	Where string
	// Problem says what is wrong.
	Problem string
	// Remedy says what to do.
	Remedy string
}

// Error implements error.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("configuration: %s: %s; %s", e.Where, e.Problem, e.Remedy)
}

// Validate checks the whole configuration and returns the first *ConfigError.
func (c *Config) Validate() error {
	if len(c.Services) == 0 {
		return &ConfigError{"services", "no service is defined", "define at least one service"}
	}
	if len(c.Classes) == 0 {
		return &ConfigError{"classes", "no class is defined", "define at least one class with a deadline_ms"}
	}
	if err := c.validateServices(); err != nil {
		return err
	}
	classes, err := c.validateClasses()
	if err != nil {
		return err
	}
	if err := c.validateCustomers(classes); err != nil {
		return err
	}
	return c.validatePolicies()
}

func (c *Config) validateServices() error {
	seen := map[string]bool{}
	models := map[string]string{}
	for i, s := range c.Services {
		where := fmt.Sprintf("services[%d]", i)
		if s.Name == "" {
			return &ConfigError{where + ".name", "the name is empty", "name the service"}
		}
		if seen[s.Name] {
			return &ConfigError{where + ".name", fmt.Sprintf("%q is defined twice", s.Name), "remove or rename one of the two"}
		}
		seen[s.Name] = true
		if s.Kind != KindEngine && s.Kind != KindService {
			return &ConfigError{where + ".kind", fmt.Sprintf("%q is not a kind", s.Kind), `use "engine" or "service"`}
		}
		if s.Kind == KindEngine && len(s.Models) == 0 {
			return &ConfigError{where + ".models", "an engine service names no model", "list the models that callers may ask for"}
		}
		if s.Kind == KindEngine && s.NotRepeatable {
			return &ConfigError{where + ".not_repeatable", "a model engine can't be marked so", "mark plain services only"}
		}
		if s.RetryShare < 0 || s.RetryShare > 1 {
			return &ConfigError{where + ".retry_share", "the share is outside 0 to 1", "use 0.1 for one retry in ten requests"}
		}
		for _, m := range s.Models {
			if other, ok := models[m]; ok {
				return &ConfigError{where + ".models", fmt.Sprintf("model %q is served by %q too", m, other), "let one service serve a model"}
			}
			models[m] = s.Name
		}
	}
	return nil
}

func (c *Config) validateClasses() (map[string]bool, error) {
	seen := map[string]bool{}
	for i, k := range c.Classes {
		where := fmt.Sprintf("classes[%d]", i)
		if k.Name == "" {
			return nil, &ConfigError{where + ".name", "the name is empty", "name the class"}
		}
		if seen[k.Name] {
			return nil, &ConfigError{where + ".name", fmt.Sprintf("%q is defined twice", k.Name), "remove or rename one of the two"}
		}
		seen[k.Name] = true
		if k.DeadlineMillis <= 0 || k.Deadline() > MaxDeadline {
			return nil, &ConfigError{where + ".deadline_ms", "the deadline is outside 1 to 600000", "use a deadline of at most ten minutes"}
		}
		if k.Weight < 0 {
			return nil, &ConfigError{where + ".weight", "the weight is negative", "use 1 for an ordinary share"}
		}
	}
	return seen, nil
}

func (c *Config) validateCustomers(classes map[string]bool) error {
	names := map[string]bool{}
	keys := map[string]string{}
	for i, t := range c.Customers {
		where := fmt.Sprintf("customers[%d]", i)
		if t.Name == "" {
			return &ConfigError{where + ".name", "the name is empty", "name the customer"}
		}
		if names[t.Name] {
			return &ConfigError{where + ".name", fmt.Sprintf("%q is defined twice", t.Name), "remove or rename one of the two"}
		}
		names[t.Name] = true
		if err := validateKeys(t, where, keys); err != nil {
			return err
		}
		if !classes[t.Class] {
			return &ConfigError{where + ".class", fmt.Sprintf("class %q is not defined", t.Class), "name one of the defined classes"}
		}
		if t.Weight < 0 {
			return &ConfigError{where + ".weight", "the weight is negative", "use 1 for an ordinary share"}
		}
	}
	return nil
}

func (c *Config) validatePolicies() error {
	seen := map[string]bool{}
	for i, p := range c.Policies {
		where := fmt.Sprintf("policies[%d]", i)
		if p.Name == "" || seen[p.Name] {
			return &ConfigError{where + ".name", "the name is empty or used twice", "give each policy a name of its own"}
		}
		seen[p.Name] = true
		switch p.Hook {
		case HookClassify, HookAdmit, HookScore, HookPin:
		default:
			return &ConfigError{where + ".hook", fmt.Sprintf("%q is not a hook", p.Hook), "use classify, admit, score or pin"}
		}
		if p.Source == "" {
			return &ConfigError{where + ".source", "the program is empty", "write an expression or remove the policy"}
		}
	}
	return nil
}
