package follow

import (
	"log/slog"
	"sync/atomic"

	"github.com/thymerack/thymerack/coordination/routing"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

// Config holds the routing table in force. It only moves on to higher configuration versions.
type Config struct {
	name   string
	decode func([]byte) (*state.RoutingConfig, error)
	log    *slog.Logger
	table  atomic.Pointer[routing.Table]
	// unreadable is set while the newest configuration can't be decoded.
	unreadable atomic.Bool
}

// NewConfig returns a Config that reads the configuration from the object of the given name.
func NewConfig(name string, decode func([]byte) (*state.RoutingConfig, error), log *slog.Logger) *Config {
	return &Config{name: name, decode: decode, log: log}
}

// Table returns the routing table in force, or nil before the first configuration.
func (c *Config) Table() *routing.Table { return c.table.Load() }

// Unreadable reports whether the newest configuration can't be decoded, so that an older one
// stays in force.
func (c *Config) Unreadable() bool { return c.unreadable.Load() }

// Update applies a new copy of the configuration objects. A configuration that can't be decoded
// leaves the present one in force. Update must not be called concurrently.
func (c *Config) Update(copied Copy) {
	for _, object := range copied.Objects {
		if object.Name != c.name {
			continue
		}
		config, err := c.decode(object.Value)
		c.unreadable.Store(err != nil)
		if err != nil {
			c.log.Error("configuration can't be decoded; the previous one stays in force", "version", store.FormatVersion(object.Version), "cause", err.Error())
			return
		}
		current := c.table.Load()
		if current != nil && config.Version < current.Version {
			c.log.Warn("ignored the store's configuration, which is older than the one in force", "config_version", current.Version, "store_version", config.Version, "revision", store.FormatVersion(copied.Revision))
		}
		if current != nil && config.Version <= current.Version {
			return
		}
		c.table.Store(routing.NewTable(config))
		c.log.Info("configuration in force", "config_version", config.Version, "revision", store.FormatVersion(copied.Revision), "routes", len(config.Routes))
	}
}
