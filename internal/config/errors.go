package config

import "fmt"

// FieldError reports a field of the platform's configuration file, or an environment variable, that is missing or invalid.
// Its text names either the value and the expected value, or the fault.
type FieldError struct {
	Field  string // path in the file, such as "limits.cores", or the name of the variable
	Value  string // invalid value as printed; "" if Fault is set
	Wanted string // expected value; used only with Value
	Fault  string // used only without Value, such as "is missing"
}

// Error implements error.
func (e *FieldError) Error() string {
	if e.Value == "" {
		return fmt.Sprintf("config: %s %s", e.Field, e.Fault)
	}
	return fmt.Sprintf("config: %s is %s, want %s", e.Field, e.Value, e.Wanted)
}
