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

// Capture is where and how a server records what its decision module is told and decides.
type Capture struct {
	Directory string
	capture.Config
}

// State is where and how much a server keeps over restarts.
type State struct {
	Directory string
	idempotency.Limits
}

// DefaultState is what is kept where the file says no figures.
func DefaultState() *State {
	return &State{Limits: idempotency.Limits{Entries: 20000, Bytes: 16 << 20}}
}

// Operator is what the operators' own file says; what is absent is nil.
type Operator struct {
	Capture *Capture
	State   *State
}

// LoadOperator reads the operators' file.
func LoadOperator(path string) (*Operator, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return parseOperator(path, text)
}

// parseOperator reads the text of the operators' file.
func parseOperator(file string, text []byte) (*Operator, error) {
	forms, err := sexp.Parse(file, text)
	if err != nil {
		return nil, err
	}
	o := &Operator{}
	err = sexp.Fields(forms, map[string]func(sexp.Node) error{
		"capture": func(form sexp.Node) (err error) {
			o.Capture, err = readCapture(form)
			return err
		},
		"state": func(form sexp.Node) (err error) {
			o.State, err = readState(form)
			return err
		},
	})
	if err != nil {
		return nil, err
	}
	return o, nil
}

// readState reads (state ...).
func readState(form sexp.Node) (*State, error) {
	s := DefaultState()
	err := sexp.Fields(form.Args(), map[string]func(sexp.Node) error{
		"directory": sexp.Text(&s.Directory),
		"keys":      sexp.Int(&s.Entries, 1, 10_000_000),
		"size":      sexp.Bytes(&s.Bytes, 64<<10, 1<<40),
	})
	if err == nil && s.Directory == "" {
		err = sexp.Errorf(form.At, "(state ...) has no (directory ...)")
	}
	return s, err
}

// readCapture reads (capture ...).
func readCapture(form sexp.Node) (*Capture, error) {
	c := &Capture{Config: capture.Defaults()}
	memory := int64(c.Memory)
	err := sexp.Fields(form.Args(), map[string]func(sexp.Node) error{
		"directory": sexp.Text(&c.Directory),
		"segment":   sexp.Bytes(&c.Segment, 1, math.MaxInt32),
		"age":       sexp.Duration(&c.Age, time.Second, 24*time.Hour),
		"keep":      sexp.Bytes(&c.Keep, 1, 1<<50),
		"memory":    sexp.Bytes(&memory, 1, 1<<30),
		"flush":     sexp.Duration(&c.Flush, time.Millisecond, time.Minute),
	})
	if err != nil {
		return nil, err
	}
	c.Memory = int(memory)
	if c.Directory == "" {
		return nil, sexp.Errorf(form.At, "(capture ...) has no (directory ...)")
	}
	if err := c.Check(); err != nil {
		return nil, sexp.Errorf(form.At, "%v", err)
	}
	return c, nil
}
