package nginx

import (
	"fmt"

	"tillerusher/internal/sexp"
)

// Severity is how much it matters that something is not imported.
type Severity uint8

// The severities.
const (
	Harmless        Severity = iota // it has no part in which pool gets a request, or none here
	ChangesBehavior                 // requests may be answered otherwise
	Unsafe                          // requests may go where they must not: someone has to look at it first
)

// severityNames are the severities in output.
var severityNames = [...]string{
	Harmless:        "harmless",
	ChangesBehavior: "changes behaviour",
	Unsafe:          "unsafe",
}

// String returns the severity's name in output.
func (s Severity) String() string { return severityNames[s] }

// MarshalText implements encoding.TextMarshaler.
func (s Severity) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Diagnostic reports something that is not imported, or not as it was.
type Diagnostic struct {
	Pos       sexp.Pos `json:"at"`
	Directive string   `json:"what"`
	Severity  Severity `json:"severity"`
	Reason    string   `json:"reason"`
}

// String returns the diagnostic in one line.
func (d Diagnostic) String() string {
	return fmt.Sprintf("%v: %s: %v: %s", d.Pos, d.Directive, d.Severity, d.Reason)
}

// report adds a diagnostic about a directive.
func (im *importer) report(d *Directive, s Severity, format string, args ...any) {
	im.diagnostics = append(im.diagnostics, Diagnostic{
		Pos:       d.Pos,
		Directive: d.String(),
		Severity:  s,
		Reason:    fmt.Sprintf(format, args...),
	})
}

// reportUnsupported adds a diagnostic about a directive that is not imported at all.
func (im *importer) reportUnsupported(d *Directive) {
	if u, ok := unsupported[d.Name]; ok {
		im.report(d, u.severity, "%s", u.reason)
		return
	}
	im.report(d, ChangesBehavior, "the importer does not know it")
}
