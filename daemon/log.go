package daemon

import (
	"fmt"
	"io"
	"log/slog"

	"github.com/thymerack/thymerack/settings"
)

// NewLogger returns the process's logger and sets level to the configured one;
// changing level later changes what is logged.
func NewLogger(w io.Writer, s settings.Log, level *slog.LevelVar) (*slog.Logger, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(s.Level)); err != nil {
		return nil, fmt.Errorf("log.level %q is not a level (%w); use debug, info, warn or error", s.Level, err)
	}
	level.Set(l)
	o := &slog.HandlerOptions{Level: level}
	if s.Format == "json" {
		return slog.New(slog.NewJSONHandler(w, o)), nil
	}
	return slog.New(slog.NewTextHandler(w, o)), nil
}
