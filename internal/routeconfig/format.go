package routeconfig

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"tillerusher/internal/sexp"
)

// Format writes the configuration in its one canonical form: classes, pools and servers in their order, each with what
// differs from the defaults.
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

// format writes a class.
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

// formatter writes forms, each level of them indented by two spaces more.
type formatter struct {
	strings.Builder
	depth int
}

// indent is the indentation of one level.
const indent = "  "

// line writes a form in one line.
func (f *formatter) line(items ...string) {
	fmt.Fprintf(f, "%s%s\n", strings.Repeat(indent, f.depth), inline(items...))
}

// open begins a form of several lines.
func (f *formatter) open(items ...string) {
	fmt.Fprintf(f, "%s(%s\n", strings.Repeat(indent, f.depth), strings.Join(items, " "))
	f.depth++
}

// close ends the form that was opened last, behind its last line.
func (f *formatter) close() {
	f.depth--
	text := strings.TrimSuffix(f.String(), "\n")
	f.Reset()
	f.WriteString(text + ")\n")
}

// inline returns a form as a word of another one.
func inline(items ...string) string { return "(" + strings.Join(items, " ") + ")" }

// formatNumber writes a number.
func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// durationUnits are the units of times, largest first.
var durationUnits = []struct {
	name string
	unit time.Duration
}{
	{"h", time.Hour},
	{"m", time.Minute},
	{"s", time.Second},
	{"ms", time.Millisecond},
}

// formatDuration writes a time in the largest unit of which it is a whole number.
func formatDuration(d time.Duration) string {
	for _, u := range durationUnits {
		if d != 0 && d%u.unit == 0 {
			return strconv.FormatInt(int64(d/u.unit), 10) + u.name
		}
	}
	return strconv.FormatInt(int64(d/time.Microsecond), 10) + "us"
}

// formatParams writes parameters.
func formatParams(out *formatter, params []Param) {
	for _, p := range params {
		out.line("param", sexp.Quote(p.Name), sexp.Quote(p.Value))
	}
}
