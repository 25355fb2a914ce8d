package route

import "fmt"

// ConfigError is a part of a table's description that can't be used.
type ConfigError struct {
	Source string // where the part was defined, as Location.Source has it
	Err    error
}

// Error implements error.
func (e *ConfigError) Error() string { return e.Source + ": " + e.Err.Error() }

// Unwrap returns what is wrong without its source.
func (e *ConfigError) Unwrap() error { return e.Err }

// configErrorf returns a *ConfigError.
func configErrorf(source, format string, args ...any) error {
	return &ConfigError{Source: source, Err: fmt.Errorf(format, args...)}
}
