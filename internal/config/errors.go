package config

import "fmt"

// FieldError reports a field of the platform's configuration, or a variable of the environment, that is missing or makes no
// sense.
type FieldError struct {
	Field  string // as in the file, "limits.cores", or the name of the variable
	Value  string // as it is printed; "" where Fault says it all
	Wanted string // where Value is not ""
	Fault  string // such as "is missing"
}

// Error implements error.
func (e *FieldError) Error() string {
	if e.Value == "" {
		return fmt.Sprintf("config: %s %s", e.Field, e.Fault)
	}
	return fmt.Sprintf("config: %s is %s, want %s", e.Field, e.Value, e.Wanted)
}
