package routeconfig

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"tillerusher/internal/sexp"
)

// Format returns the configuration in its canonical form: the capacity, then the classes, pools and servers in their
// order. A class always has its aim, deadline and effect. Other settings are omitted if they have their default value.
func (c *Config) Format() string {
	var parts []string
	if c.Capacity != DefaultCapacity {
		parts = append(parts, fmt.Sprintf("(capacity %d)\n", c.Capacity))
	}
	for i := range c.Classes {
		out := &formatter{}
		c.Classes[i].format(out)
		parts = append(parts, out.String())
	}
	for i := range c.Pools {
		out := &formatter{}
		c.Pools[i].format(out)
		parts = append(parts, out.String())
	}
	for i := range c.Servers {
		out := &formatter{}
		c.Servers[i].format(out)
		parts = append(parts, out.String())
	}
	return strings.Join(parts, "\n")
}

// format writes a class form.
func (c *Class) format(out *formatter) {
	items := []string{
		"class",
		sexp.Quote(c.Name),
		inline("aim", formatDuration(c.LatencyObjective)),
		inline("deadline", formatDuration(c.Deadline)),
		inline("effect", string(c.Effect)),
	}
	if c.KeyWindow > 0 {
		items = append(items, inline("window", formatDuration(c.KeyWindow)))
	}
	if c.Weight != 1 {
		items = append(items, inline("worth", formatNumber(c.Weight)))
	}
	out.line(items...)
}

// formatter writes forms. Each level of nesting is indented by two more spaces.
type formatter struct {
	strings.Builder
	depth int
}

// indent is the indentation of one level of nesting.
const indent = "  "

// line writes a form on one line.
func (f *formatter) line(items ...string) {
	fmt.Fprintf(f, "%s%s\n", strings.Repeat(indent, f.depth), inline(items...))
}

// open begins a form of several lines. The caller ends it with close.
func (f *formatter) open(items ...string) {
	fmt.Fprintf(f, "%s(%s\n", strings.Repeat(indent, f.depth), strings.Join(items, " "))
	f.depth++
}

// close ends the form that was opened last. The closing parenthesis follows on the last line of the form.
func (f *formatter) close() {
	f.depth--
	text := strings.TrimSuffix(f.String(), "\n")
	f.Reset()
	f.WriteString(text + ")\n")
}

// inline returns a form as an item of another form.
func inline(items ...string) string { return "(" + strings.Join(items, " ") + ")" }

// formatNumber returns the shortest text that parses to the same number.
func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// durationUnits are the units of durations, largest first.
var durationUnits = []struct {
	name string
	unit time.Duration
}{
	{"h", time.Hour},
	{"m", time.Minute},
	{"s", time.Second},
	{"ms", time.Millisecond},
}

// formatDuration returns a duration as a whole number in the largest possible unit. Parts of a microsecond are dropped.
func formatDuration(d time.Duration) string {
	for _, u := range durationUnits {
		if d != 0 && d%u.unit == 0 {
			return strconv.FormatInt(int64(d/u.unit), 10) + u.name
		}
	}
	return strconv.FormatInt(int64(d/time.Microsecond), 10) + "us"
}

// formatParams writes a param form for each parameter.
func formatParams(out *formatter, params []Param) {
	for _, p := range params {
		out.line("param", sexp.Quote(p.Name), sexp.Quote(p.Value))
	}
}
