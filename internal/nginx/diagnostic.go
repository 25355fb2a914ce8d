package nginx

import (
	"fmt"

	"tillerusher/internal/sexp"
)

// Severity rates how much it matters that a directive is not imported, or is imported with a change.
type Severity uint8

// The severities.
const (
	Harmless        Severity = iota // the directive does not affect which pool gets a request, at least not in this router
	ChangesBehavior                 // requests may be answered differently
	Unsafe                          // requests may go where they must not; an operator has to review it before use
)

// severityNames are the names of the severities in output.
var severityNames = [...]string{
	Harmless:        "harmless",
	ChangesBehavior: "changes behaviour",
	Unsafe:          "unsafe",
}

// String returns the severity's name in output.
func (s Severity) String() string { return severityNames[s] }

// MarshalText implements encoding.TextMarshaler.
func (s Severity) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Diagnostic reports a directive that is not imported, or is imported with a change.
type Diagnostic struct {
	Pos       sexp.Pos `json:"at"`
	Directive string   `json:"what"`
	Severity  Severity `json:"severity"`
	Reason    string   `json:"reason"`
}

// String returns the diagnostic as one line.
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

// reportUnsupported adds a diagnostic about a directive that the importer does not support.
func (im *importer) reportUnsupported(d *Directive) {
	if u, ok := unsupported[d.Name]; ok {
		im.report(d, u.severity, "%s", u.reason)
		return
	}
	im.report(d, ChangesBehavior, "the importer does not know it")
}
