package follow

import (
	"log/slog"
	"sync/atomic"

	"github.com/thymerack/thymerack/coordination/routing"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

// Config holds the routes in force: the highest version seen, never a lower one.
type Config struct {
	name   string
	decode func([]byte) (*state.RoutingConfig, error)
	log    *slog.Logger
	table  atomic.Pointer[routing.Table]
	// unreadable is set while the newest configuration can't be read.
	unreadable atomic.Bool
}

// NewConfig follows the configuration object of that name.
func NewConfig(name string, decode func([]byte) (*state.RoutingConfig, error), log *slog.Logger) *Config {
	return &Config{name: name, decode: decode, log: log}
}

// Table returns the routes in force, or nil before the first configuration.
func (c *Config) Table() *routing.Table { return c.table.Load() }

// Unreadable reports whether the configuration in force isn't the newest, since that can't be
// read.
func (c *Config) Unreadable() bool { return c.unreadable.Load() }

// Update takes a new copy of the configuration objects. One that can't be read
// leaves the last in force. It has one caller at a time.
func (c *Config) Update(copied Copy) {
	for _, object := range copied.Objects {
		if object.Name != c.name {
			continue
		}
		config, err := c.decode(object.Value)
		c.unreadable.Store(err != nil)
		if err != nil {
			c.log.Error("configuration not readable; the last one stays in force", "version", store.FormatVersion(object.Version), "cause", err.Error())
			return
		}
		current := c.table.Load()
		if current != nil && config.Version < current.Version {
			c.log.Warn("the store's configuration is older than the one in force, which stays", "config_version", current.Version, "store_version", config.Version, "revision", store.FormatVersion(copied.Revision))
		}
		if current != nil && config.Version <= current.Version {
			return
		}
		c.table.Store(routing.NewTable(config))
		c.log.Info("configuration in force", "config_version", config.Version, "revision", store.FormatVersion(copied.Revision), "routes", len(config.Routes))
	}
}
