// Package logging creates the logger of the process. Messages start with the prefix of their
// component, such as "owner: " or "listener: ".
package logging

import (
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Log formats.
const (
	Console = "console"
	JSON    = "json"
)

// New returns a logger that writes to standard error. It fails for an unknown level or format.
func New(level, format string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Errorf("log level %q is unknown; use debug, info, warn or error", level)
	}
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(parsed)
	config.DisableStacktrace = true
	config.DisableCaller = true
	config.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	switch format {
	case JSON:
	case Console:
		config.Encoding = Console
	default:
		return nil, errors.Errorf("log format %q is unknown; use console or json", format)
	}
	logger, err := config.Build()
	return logger, errors.Wrap(err, "build logger")
}
