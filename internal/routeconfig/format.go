package routeconfig

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"tillerusher/internal/pool"
	"tillerusher/internal/route"
	"tillerusher/internal/sexp"
)

// formatter puts forms together, two spaces for each level.
type formatter struct {
	strings.Builder
	depth int
}

// line writes a form of words in one line.
func (w *formatter) line(words ...string) {
	fmt.Fprintf(w, "%s(%s)\n", strings.Repeat("  ", w.depth), strings.Join(words, " "))
}

// open begins a form of several lines, and shut ends it.
func (w *formatter) open(words ...string) {
	fmt.Fprintf(w, "%s(%s\n", strings.Repeat("  ", w.depth), strings.Join(words, " "))
	w.depth++
}

func (w *formatter) close() {
	w.depth--
	text := strings.TrimSuffix(w.String(), "\n")
	w.Reset()
	w.WriteString(text + ")\n")
}

// Format writes the description in its one canonical form: classes, pools and servers in their order, each with what
// differs from the defaults.
func (d *Config) Format() string {
	var parts []string
	if d.Capacity != DefaultCapacity {
		parts = append(parts, fmt.Sprintf("(capacity %d)\n", d.Capacity))
	}
	for i := range d.Classes {
		w := &formatter{}
		d.Classes[i].format(w)
		parts = append(parts, w.String())
	}
	for i := range d.Pools {
		w := &formatter{}
		d.Pools[i].format(w)
		parts = append(parts, w.String())
	}
	for i := range d.Servers {
		w := &formatter{}
		d.Servers[i].format(w)
		parts = append(parts, w.String())
	}
	return strings.Join(parts, "\n")
}

func (c *Class) format(w *formatter) {
	words := []string{"class", sexp.Quote(c.Name), inline("aim", formatDuration(c.LatencyObjective)), inline("deadline", formatDuration(c.Deadline)),
		inline("effect", c.Effect)}
	if c.KeyWindow > 0 {
		words = append(words, inline("window", formatDuration(c.KeyWindow)))
	}
	if c.Weight != 1 {
		words = append(words, inline("worth", formatNumber(c.Weight)))
	}
	w.line(words...)
}

// line is a form as a word of another.
func inline(words ...string) string { return "(" + strings.Join(words, " ") + ")" }

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// formatDuration writes a time in the largest unit of which it is a whole number.
func formatDuration(d time.Duration) string {
	for _, u := range []struct {
		name string
		of   time.Duration
	}{{"h", time.Hour}, {"m", time.Minute}, {"s", time.Second}, {"ms", time.Millisecond}} {
		if d != 0 && d%u.of == 0 {
			return strconv.FormatInt(int64(d/u.of), 10) + u.name
		}
	}
	return strconv.FormatInt(int64(d/time.Microsecond), 10) + "us"
}

func (p *Pool) format(w *formatter) {
	def := defaultPool()
	w.open("pool", sexp.Quote(p.Name))
	if p.BalancingPolicy != def.BalancingPolicy {
		w.line("method", p.BalancingPolicy.String())
	}
	if p.HashKey != "" {
		w.line("key", sexp.Quote(p.HashKey))
	}
	if p.Protocol != def.Protocol {
		w.line("protocol", p.Protocol)
	}
	for _, m := range p.Members {
		w.line(memberWords(m)...)
	}
	if p.MaxAttempts != 0 {
		w.line("tries", strconv.Itoa(p.MaxAttempts))
	}
	if p.RetryTimeout != 0 {
		w.line("try-for", formatDuration(p.RetryTimeout))
	}
	if p.RetryOn != def.RetryOn {
		w.line(append([]string{"next"}, formatRetryConditions(p.RetryOn)...)...)
	}
	if p.MaxIdleConns != 0 {
		w.line("keepalive", strconv.Itoa(p.MaxIdleConns))
	}
	for _, t := range []struct {
		name    string
		is, def time.Duration
	}{{"connect", p.ConnectTimeout, def.ConnectTimeout}, {"read", p.ReadTimeout, def.ReadTimeout}, {"send", p.SendTimeout, def.SendTimeout}} {
		if t.is != t.def {
			w.line(t.name, formatDuration(t.is))
		}
	}
	if p.RetryRatio != def.RetryRatio || p.MinRetriesPerSecond != def.MinRetriesPerSecond || p.RetryBurst != def.RetryBurst {
		w.line("budget", inline("share", formatNumber(p.RetryRatio)), inline("least", formatNumber(p.MinRetriesPerSecond)),
			inline("burst", formatNumber(p.RetryBurst)))
	}
	if p.EjectionLatencyFactor != def.EjectionLatencyFactor || p.EjectionErrorRate != def.EjectionErrorRate || p.EjectionMinAttempts != def.EjectionMinAttempts ||
		p.BaseEjectionTime != def.BaseEjectionTime || p.MaxEjectedRatio != def.MaxEjectedRatio || p.PanicThreshold != def.PanicThreshold {
		w.line("eject", inline("factor", formatNumber(p.EjectionLatencyFactor)), inline("errors", formatNumber(p.EjectionErrorRate)),
			inline("after", strconv.Itoa(p.EjectionMinAttempts)), inline("for", formatDuration(p.BaseEjectionTime)), inline("most", formatNumber(p.MaxEjectedRatio)),
			inline("panic-under", formatNumber(p.PanicThreshold)))
	}
	formatParams(w, p.Params)
	w.close()
}

func memberWords(m pool.Member) []string {
	def := pool.DefaultMember(m.Addr)
	words := []string{"member", sexp.Quote(m.Addr)}
	add := func(differs bool, name, value string) {
		if differs {
			words = append(words, inline(name, value))
		}
	}
	add(m.Weight != def.Weight, "weight", strconv.Itoa(m.Weight))
	add(m.MaxConns != def.MaxConns, "max-conns", strconv.Itoa(m.MaxConns))
	add(m.MaxFails != def.MaxFails, "max-fails", strconv.Itoa(m.MaxFails))
	add(m.FailTimeout != def.FailTimeout, "fail-timeout", formatDuration(m.FailTimeout))
	add(m.SlowStart != def.SlowStart, "slow-start", formatDuration(m.SlowStart))
	if m.Backup {
		words = append(words, "(backup)")
	}
	if m.Down {
		words = append(words, "(down)")
	}
	return words
}

// formatRetryConditions are the words of a set of conditions.
func formatRetryConditions(all pool.RetryCondition) []string {
	var words []string
	for _, c := range retryConditions {
		if all&c.is != 0 {
			words = append(words, c.word)
		}
	}
	if len(words) == 0 {
		return []string{"off"}
	}
	return words
}

func formatParams(w *formatter, params []Param) {
	for _, p := range params {
		w.line("param", sexp.Quote(p.Name), sexp.Quote(p.Value))
	}
}

func formatRewrites(w *formatter, list []Rewrite) {
	for _, r := range list {
		words := []string{"rewrite", sexp.Quote(r.Pattern), sexp.Quote(r.Replacement)}
		if r.Flag != route.FlagNone {
			words = append(words, flagNames[r.Flag])
		}
		w.line(words...)
	}
}

func (s *Server) format(w *formatter) {
	w.open("server")
	for _, l := range s.Listen {
		words := []string{"listen", sexp.Quote(l.Addr.String())}
		if l.Default {
			words = append(words, "default")
		}
		w.line(words...)
	}
	if len(s.Names) > 0 {
		words := []string{"name"}
		for _, n := range s.Names {
			words = append(words, sexp.Quote(n))
		}
		w.line(words...)
	}
	if !s.MergeSlashes {
		w.line("merge-slashes", "no")
	}
	formatRewrites(w, s.Rewrites)
	for _, l := range s.Locations {
		l.format(w)
	}
	w.close()
}

func (l *Location) format(w *formatter) {
	w.open("location", kindNames[l.Kind], sexp.Quote(l.Pattern))
	if l.Pool != "" {
		w.line("pool", sexp.Quote(l.Pool))
	}
	if l.Class != "" {
		w.line("class", sexp.Quote(l.Class))
	}
	if l.ReturnStatus != 0 {
		words := []string{"return", strconv.Itoa(l.ReturnStatus)}
		if l.ReturnText != "" {
			words = append(words, sexp.Quote(l.ReturnText))
		}
		w.line(words...)
	}
	for _, f := range l.Fallbacks {
		words := []string{"fallback", sexp.Quote(f.Location)}
		for _, status := range f.Statuses {
			words = append(words, strconv.Itoa(status))
		}
		switch f.ResponseStatus {
		case 0:
		case KeepStatus:
			words = append(words, "(status same)")
		default:
			words = append(words, inline("status", strconv.Itoa(f.ResponseStatus)))
		}
		w.line(words...)
	}
	if !l.InterceptErrors {
		w.line("intercept", "no")
	}
	formatRewrites(w, l.Rewrites)
	formatParams(w, l.Params)
	for _, inner := range l.Locations {
		inner.format(w)
	}
	w.close()
}
