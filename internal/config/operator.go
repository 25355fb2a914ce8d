package config

import (
	"fmt"
	"math"
	"os"
	"time"

	"tillerusher/internal/capture"
	"tillerusher/internal/idempotency"
	"tillerusher/internal/sexp"
)

// CaptureConfig configures how a server records the events and actions of its decision module, and in which directory.
type CaptureConfig struct {
	Directory string
	capture.Config
}

// StateConfig configures the directory in which a server keeps state across restarts, and the limits of that state.
type StateConfig struct {
	Directory string
	idempotency.Limits
}

// Defaults and bounds of a StateConfig.
const (
	defaultMaxKeys  = 20000
	maxMaxKeys      = 10_000_000
	defaultMaxBytes = 16 << 20
	minMaxBytes     = 64 << 10
	maxMaxBytes     = 1 << 40
)

// DefaultStateConfig returns a StateConfig without a directory and with the limits that apply if the file sets none.
func DefaultStateConfig() *StateConfig {
	return &StateConfig{Limits: idempotency.Limits{MaxKeys: defaultMaxKeys, MaxBytes: defaultMaxBytes}}
}

// OperatorConfig holds the operators' settings. A form that is absent from the file is nil.
type OperatorConfig struct {
	Capture *CaptureConfig
	State   *StateConfig
}

// LoadOperatorConfig reads the operators' settings file. Errors in its text are of type *sexp.Error.
func LoadOperatorConfig(path string) (*OperatorConfig, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return parseOperatorConfig(path, text)
}

// parseOperatorConfig parses the text of the operators' settings file. file is the name used in errors.
func parseOperatorConfig(file string, text []byte) (*OperatorConfig, error) {
	forms, err := sexp.Parse(file, text)
	if err != nil {
		return nil, err
	}
	operator := &OperatorConfig{}
	err = sexp.ReadFields(forms, map[string]func(sexp.Node) error{
		"capture": func(form sexp.Node) (err error) {
			operator.Capture, err = readCaptureConfig(form)
			return err
		},
		"state": func(form sexp.Node) (err error) {
			operator.State, err = readStateConfig(form)
			return err
		},
	})
	if err != nil {
		return nil, err
	}
	return operator, nil
}

// readStateConfig reads the form (state ...).
func readStateConfig(form sexp.Node) (*StateConfig, error) {
	state := DefaultStateConfig()
	err := sexp.ReadFields(form.Args(), map[string]func(sexp.Node) error{
		"directory": sexp.Text(&state.Directory),
		"keys":      sexp.Int(&state.MaxKeys, 1, maxMaxKeys),
		"size":      sexp.Bytes(&state.MaxBytes, minMaxBytes, maxMaxBytes),
	})
	if err == nil && state.Directory == "" {
		err = errNoDirectory(form)
	}
	return state, err
}

// readCaptureConfig reads the form (capture ...). The bounds here only catch values with a wrong unit;
// capture.Config.Validate checks the other bounds.
func readCaptureConfig(form sexp.Node) (*CaptureConfig, error) {
	config := &CaptureConfig{Config: capture.DefaultConfig()}
	bufferBytes := int64(config.BufferBytes)
	err := sexp.ReadFields(form.Args(), map[string]func(sexp.Node) error{
		"directory": sexp.Text(&config.Directory),
		"segment":   sexp.Bytes(&config.SegmentBytes, 1, math.MaxInt32),
		"age":       sexp.Duration(&config.SegmentAge, time.Second, 24*time.Hour),
		"keep":      sexp.Bytes(&config.MaxBytes, 1, 1<<50),
		"memory":    sexp.Bytes(&bufferBytes, 1, 1<<30),
		"flush":     sexp.Duration(&config.FlushInterval, time.Millisecond, time.Minute),
	})
	if err != nil {
		return nil, err
	}
	config.BufferBytes = int(bufferBytes)
	if config.Directory == "" {
		return nil, errNoDirectory(form)
	}
	if err := config.Validate(); err != nil {
		return nil, sexp.Errorf(form.Pos, "%v", err)
	}
	return config, nil
}

// errNoDirectory returns the error for a form without the required directory.
func errNoDirectory(form sexp.Node) error {
	return sexp.Errorf(form.Pos, "(%s ...) has no (directory ...)", form.Name())
}
