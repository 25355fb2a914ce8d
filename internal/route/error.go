package route

import "fmt"

// ConfigError reports an invalid server, location or rewrite of a table.
type ConfigError struct {
	Source string // Source of the server, location or rewrite
	Err    error
}

// Error implements error.
func (e *ConfigError) Error() string { return e.Source + ": " + e.Err.Error() }

// Unwrap returns the error without its source.
func (e *ConfigError) Unwrap() error { return e.Err }

// configErrorf returns a *ConfigError.
func configErrorf(source, format string, args ...any) error {
	return &ConfigError{Source: source, Err: fmt.Errorf(format, args...)}
}
