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

// writer puts forms together, two spaces for each level.
type writer struct {
	strings.Builder
	depth int
}

// form writes a form of words in one line.
func (w *writer) form(words ...string) {
	fmt.Fprintf(w, "%s(%s)\n", strings.Repeat("  ", w.depth), strings.Join(words, " "))
}

// open begins a form of several lines, and shut ends it.
func (w *writer) open(words ...string) {
	fmt.Fprintf(w, "%s(%s\n", strings.Repeat("  ", w.depth), strings.Join(words, " "))
	w.depth++
}

func (w *writer) shut() {
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
		w := &writer{}
		d.Classes[i].write(w)
		parts = append(parts, w.String())
	}
	for i := range d.Pools {
		w := &writer{}
		d.Pools[i].write(w)
		parts = append(parts, w.String())
	}
	for i := range d.Servers {
		w := &writer{}
		d.Servers[i].write(w)
		parts = append(parts, w.String())
	}
	return strings.Join(parts, "\n")
}

func (c *Class) write(w *writer) {
	words := []string{"class", sexp.Quote(c.Name), form("aim", duration(c.LatencyObjective)), form("deadline", duration(c.Deadline)),
		form("effect", c.Effect)}
	if c.KeyWindow > 0 {
		words = append(words, form("window", duration(c.KeyWindow)))
	}
	if c.Weight != 1 {
		words = append(words, form("worth", number(c.Weight)))
	}
	w.form(words...)
}

// form is a form as a word of another.
func form(words ...string) string { return "(" + strings.Join(words, " ") + ")" }

func number(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// duration writes a time in the largest unit of which it is a whole number.
func duration(d time.Duration) string {
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

func (p *Pool) write(w *writer) {
	def := defaultPool()
	w.open("pool", sexp.Quote(p.Name))
	if p.BalancingPolicy != def.BalancingPolicy {
		w.form("method", p.BalancingPolicy.String())
	}
	if p.HashKey != "" {
		w.form("key", sexp.Quote(p.HashKey))
	}
	if p.Protocol != def.Protocol {
		w.form("protocol", p.Protocol)
	}
	for _, m := range p.Members {
		w.form(memberWords(m)...)
	}
	if p.MaxAttempts != 0 {
		w.form("tries", strconv.Itoa(p.MaxAttempts))
	}
	if p.RetryTimeout != 0 {
		w.form("try-for", duration(p.RetryTimeout))
	}
	if p.RetryOn != def.RetryOn {
		w.form(append([]string{"next"}, conditions(p.RetryOn)...)...)
	}
	if p.MaxIdleConns != 0 {
		w.form("keepalive", strconv.Itoa(p.MaxIdleConns))
	}
	for _, t := range []struct {
		name    string
		is, def time.Duration
	}{{"connect", p.ConnectTimeout, def.ConnectTimeout}, {"read", p.ReadTimeout, def.ReadTimeout}, {"send", p.SendTimeout, def.SendTimeout}} {
		if t.is != t.def {
			w.form(t.name, duration(t.is))
		}
	}
	if p.RetryRatio != def.RetryRatio || p.MinRetriesPerSecond != def.MinRetriesPerSecond || p.RetryBurst != def.RetryBurst {
		w.form("budget", form("share", number(p.RetryRatio)), form("least", number(p.MinRetriesPerSecond)),
			form("burst", number(p.RetryBurst)))
	}
	if p.EjectionLatencyFactor != def.EjectionLatencyFactor || p.EjectionErrorRate != def.EjectionErrorRate || p.EjectionMinAttempts != def.EjectionMinAttempts ||
		p.BaseEjectionTime != def.BaseEjectionTime || p.MaxEjectedRatio != def.MaxEjectedRatio || p.PanicThreshold != def.PanicThreshold {
		w.form("eject", form("factor", number(p.EjectionLatencyFactor)), form("errors", number(p.EjectionErrorRate)),
			form("after", strconv.Itoa(p.EjectionMinAttempts)), form("for", duration(p.BaseEjectionTime)), form("most", number(p.MaxEjectedRatio)),
			form("panic-under", number(p.PanicThreshold)))
	}
	writeParams(w, p.Params)
	w.shut()
}

func memberWords(m pool.Member) []string {
	def := pool.DefaultMember(m.Addr)
	words := []string{"member", sexp.Quote(m.Addr)}
	add := func(differs bool, name, value string) {
		if differs {
			words = append(words, form(name, value))
		}
	}
	add(m.Weight != def.Weight, "weight", strconv.Itoa(m.Weight))
	add(m.MaxConns != def.MaxConns, "max-conns", strconv.Itoa(m.MaxConns))
	add(m.MaxFails != def.MaxFails, "max-fails", strconv.Itoa(m.MaxFails))
	add(m.FailTimeout != def.FailTimeout, "fail-timeout", duration(m.FailTimeout))
	add(m.SlowStart != def.SlowStart, "slow-start", duration(m.SlowStart))
	if m.Backup {
		words = append(words, "(backup)")
	}
	if m.Down {
		words = append(words, "(down)")
	}
	return words
}

// conditions are the words of a set of conditions.
func conditions(all pool.RetryCondition) []string {
	var words []string
	for _, c := range conditionWords {
		if all&c.is != 0 {
			words = append(words, c.word)
		}
	}
	if len(words) == 0 {
		return []string{"off"}
	}
	return words
}

func writeParams(w *writer, params []Param) {
	for _, p := range params {
		w.form("param", sexp.Quote(p.Name), sexp.Quote(p.Value))
	}
}

func writeRewrites(w *writer, list []Rewrite) {
	for _, r := range list {
		words := []string{"rewrite", sexp.Quote(r.Pattern), sexp.Quote(r.Replacement)}
		if r.Flag != route.FlagNone {
			words = append(words, flagWords[r.Flag])
		}
		w.form(words...)
	}
}

func (s *Server) write(w *writer) {
	w.open("server")
	for _, l := range s.Listen {
		words := []string{"listen", sexp.Quote(l.Addr.String())}
		if l.Default {
			words = append(words, "default")
		}
		w.form(words...)
	}
	if len(s.Names) > 0 {
		words := []string{"name"}
		for _, n := range s.Names {
			words = append(words, sexp.Quote(n))
		}
		w.form(words...)
	}
	if !s.MergeSlashes {
		w.form("merge-slashes", "no")
	}
	writeRewrites(w, s.Rewrites)
	for _, l := range s.Locations {
		l.write(w)
	}
	w.shut()
}

func (l *Location) write(w *writer) {
	w.open("location", kindWords[l.Kind], sexp.Quote(l.Pattern))
	if l.Pool != "" {
		w.form("pool", sexp.Quote(l.Pool))
	}
	if l.Class != "" {
		w.form("class", sexp.Quote(l.Class))
	}
	if l.ReturnStatus != 0 {
		words := []string{"return", strconv.Itoa(l.ReturnStatus)}
		if l.ReturnText != "" {
			words = append(words, sexp.Quote(l.ReturnText))
		}
		w.form(words...)
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
			words = append(words, form("status", strconv.Itoa(f.ResponseStatus)))
		}
		w.form(words...)
	}
	if !l.InterceptErrors {
		w.form("intercept", "no")
	}
	writeRewrites(w, l.Rewrites)
	writeParams(w, l.Params)
	for _, inner := range l.Locations {
		inner.write(w)
	}
	w.shut()
}
