package node

import (
	"github.com/rs/zerolog"

	"comfreycart.dev/comfreycart/internal/system/settingsync"
)

// BaseLog is the logger that a node is created with, before it is filtered by the log level
// in the settings.
type BaseLog zerolog.Logger

// levelHook discards events below the log level in the settings.
type levelHook struct {
	current *settingsync.Current
}

// Run implements zerolog.Hook.
func (h levelHook) Run(e *zerolog.Event, level zerolog.Level, _ string) {
	if level < h.level() {
		e.Discard()
	}
}

// level returns the log level in the settings, and info if there are no settings or the level
// is invalid.
func (h levelHook) level() zerolog.Level {
	v := h.current.View()
	if v == nil {
		return zerolog.InfoLevel
	}
	level, err := zerolog.ParseLevel(v.Tree.Deployment.LogLevel)
	if err != nil || level == zerolog.NoLevel {
		return zerolog.InfoLevel
	}
	return level
}

func provideLog(base BaseLog, c *settingsync.Current) zerolog.Logger {
	return zerolog.Logger(base).Hook(levelHook{c})
}
