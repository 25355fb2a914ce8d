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

// CaptureConfig is where and how a server records what its decision module is told and decides.
type CaptureConfig struct {
	Directory string
	capture.Config
}

// StateConfig is where and how much a server keeps over restarts.
type StateConfig struct {
	Directory string
	idempotency.Limits
}

// DefaultStateConfig is what is kept where the file says no figures.
func DefaultStateConfig() *StateConfig {
	return &StateConfig{Limits: idempotency.Limits{MaxKeys: 20000, MaxBytes: 16 << 20}}
}

// OperatorConfig is what the operators' own file says; what is absent is nil.
type OperatorConfig struct {
	Capture *CaptureConfig
	State   *StateConfig
}

// LoadOperatorConfig reads the operators' file.
func LoadOperatorConfig(path string) (*OperatorConfig, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return parseOperatorConfig(path, text)
}

// parseOperatorConfig reads the text of the operators' file.
func parseOperatorConfig(file string, text []byte) (*OperatorConfig, error) {
	forms, err := sexp.Parse(file, text)
	if err != nil {
		return nil, err
	}
	o := &OperatorConfig{}
	err = sexp.ReadFields(forms, map[string]func(sexp.Node) error{
		"capture": func(form sexp.Node) (err error) {
			o.Capture, err = readCaptureConfig(form)
			return err
		},
		"state": func(form sexp.Node) (err error) {
			o.State, err = readStateConfig(form)
			return err
		},
	})
	if err != nil {
		return nil, err
	}
	return o, nil
}

// readStateConfig reads (state ...).
func readStateConfig(form sexp.Node) (*StateConfig, error) {
	s := DefaultStateConfig()
	err := sexp.ReadFields(form.Args(), map[string]func(sexp.Node) error{
		"directory": sexp.Text(&s.Directory),
		"keys":      sexp.Int(&s.MaxKeys, 1, 10_000_000),
		"size":      sexp.Bytes(&s.MaxBytes, 64<<10, 1<<40),
	})
	if err == nil && s.Directory == "" {
		err = sexp.Errorf(form.Pos, "(state ...) has no (directory ...)")
	}
	return s, err
}

// readCaptureConfig reads (capture ...).
func readCaptureConfig(form sexp.Node) (*CaptureConfig, error) {
	c := &CaptureConfig{Config: capture.DefaultConfig()}
	memory := int64(c.BufferBytes)
	err := sexp.ReadFields(form.Args(), map[string]func(sexp.Node) error{
		"directory": sexp.Text(&c.Directory),
		"segment":   sexp.Bytes(&c.SegmentBytes, 1, math.MaxInt32),
		"age":       sexp.Duration(&c.SegmentAge, time.Second, 24*time.Hour),
		"keep":      sexp.Bytes(&c.MaxBytes, 1, 1<<50),
		"memory":    sexp.Bytes(&memory, 1, 1<<30),
		"flush":     sexp.Duration(&c.FlushInterval, time.Millisecond, time.Minute),
	})
	if err != nil {
		return nil, err
	}
	c.BufferBytes = int(memory)
	if c.Directory == "" {
		return nil, sexp.Errorf(form.Pos, "(capture ...) has no (directory ...)")
	}
	if err := c.Validate(); err != nil {
		return nil, sexp.Errorf(form.Pos, "%v", err)
	}
	return c, nil
}
