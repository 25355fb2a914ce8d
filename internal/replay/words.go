package replay

import (
	"fmt"
	"strings"
	"time"

	"tillerusher/admission"
)

// clockTime is how times of day are written.
const clockTime = "15:04:05.000"

// ms writes a duration in whole milliseconds.
func ms(d time.Duration) string { return d.Round(time.Millisecond).String() }

// Words tells a story in sentences, a line each.
func (s *Story) Words() []string {
	who := fmt.Sprintf("#%d", s.ID)
	if s.Wire != "" {
		who = s.Wire + " (#" + fmt.Sprint(s.ID) + ")"
	}
	what := s.Class
	if s.Tenant != "" {
		what += " of " + s.Tenant
	}
	if s.Asked.Retry {
		what += ", a further try"
	}
	lines := []string{fmt.Sprintf("%s, %s, was read at %s UTC (%v of the module's clock), %s after it reached the machine.", who,
		what, s.Unix.UTC().Format(clockTime), s.At.Round(time.Millisecond), ms(s.Asked.Waited))}
	lines = append(lines, s.ended()...)
	if s.Weighing != nil {
		lines = append(lines, "When it was read:")
		lines = append(lines, indent(weighed(s.Weighing, s.At, s.Known))...)
	}
	if s.EndKnown != nil {
		lines = append(lines, fmt.Sprintf("When it ended, %s later:", ms(s.EndAt-s.At)))
		lines = append(lines, indent(judged(s.Judged, s.EndAt, s.EndKnown))...)
	}
	if len(s.Steps) > 0 {
		lines = append(lines, "Step by step:")
		for _, step := range s.Steps {
			lines = append(lines, fmt.Sprintf("  %s  +%s  %s", step.Unix.UTC().Format(clockTime), ms(step.At-s.At), step.Text))
		}
	}
	return lines
}

// ended says how and why the request ended.
func (s *Story) ended() []string {
	after := ms(s.EndAt - s.At)
	switch s.Ending {
	case Refused, Failed:
		word := "refused"
		if s.Ending == Failed {
			word = "answered as failed"
		}
		if s.OnRead && s.Weighing != nil {
			return []string{fmt.Sprintf("It was %s at once: %s.", word, s.Weighing.Reason)}
		}
		if s.Judged != nil && s.Judged.Reason != admission.Admitted {
			return []string{fmt.Sprintf("It was %s after %s while it was %s: %s.", word, after, s.Judged.Phase, s.Judged.Reason)}
		}
		return []string{fmt.Sprintf("It was %s after %s.", word, after)}
	case Served, Reused:
		text := "It was served by its own run after " + after
		if s.Ending == Reused {
			text = "It was served by the run of another try after " + after
		}
		if s.Late > 0 {
			return []string{text + ", " + ms(s.Late) + " later than its aim."}
		}
		return []string{text + ", in time."}
	case Left:
		return []string{"Its caller went away after " + after + "."}
	case Errored:
		return []string{"Its run ended without a result after " + after + "."}
	}
	return []string{"No answer to it is in the capture."}
}

func indent(lines []string) []string {
	for i := range lines {
		lines[i] = "  " + lines[i]
	}
	return lines
}

// weighed says how an arrival looked.
func weighed(w *admission.Weighing, now time.Duration, known *admission.Insight) []string {
	lines := []string{fmt.Sprintf("N %.2f with it counted, T %s before; rate %.1f/s", w.N, ms(now-w.T), w.Rate)}
	if w.Threshold > 0 {
		lines[0] += fmt.Sprintf(" over a threshold of %.1f/s: %.2f times it", w.Threshold, w.Excess)
	}
	if w.Repeats {
		lines = append(lines, "it repeats a known try and is answered by what becomes of that")
	}
	lines = append(lines,
		fmt.Sprintf("predicted wait %s; it could wait %s and still meet its aim; its answer was due in %s", ms(w.Wait),
			ms(w.Spare), ms(w.Due-now)))
	lines = append(lines, Knew(known)...)
	return append(lines, stood(w.HeldAhead, w.OnCores)...)
}

// judged says how a request looked that was held or ran.
func judged(j *admission.Judgement, now time.Duration, known *admission.Insight) []string {
	var lines []string
	if j != nil {
		lines = append(lines, fmt.Sprintf("%s; a run of it was expected to take %s; its aim was %s, its due time %s", j.Phase,
			ms(j.OwnTime), relative(j.Useful-now), relative(j.Due-now)))
	}
	lines = append(lines, Knew(known)...)
	if j != nil {
		lines = append(lines, stood(j.HeldAhead, j.OnCores)...)
	}
	return lines
}

// relative says when something is from now.
func relative(d time.Duration) string {
	if d < 0 {
		return ms(-d) + " ago"
	}
	return "in " + ms(d)
}

// Knew says what the module knew.
func Knew(i *admission.Insight) []string {
	flags := ""
	for _, f := range []struct {
		is   bool
		text string
	}{{i.Full, "cores full"}, {i.Pressed, "pressed"}, {i.Stalled, "stalled"}, {i.Draining, "draining"}, {i.Stormy, "a storm of tries"}} {
		if f.is {
			flags += ", " + f.text
		}
	}
	lines := []string{
		fmt.Sprintf("held %d, running %d of a limit of %.1f (at most %.1f), at calls %d%s", i.Held, i.Running, i.Limit, i.Crowd,
			i.AtCall, flags),
		fmt.Sprintf("gauges: busy %.2f, runnable %g; memory %.0f of %.0f kB, %d keys; further tries %.0f %% of arrivals, unread for %s",
			i.Busy, i.Runnable, i.MemoryKB, i.MostKB, i.Keys, 100*i.Retries, ms(i.Unread))}
	for n, c := range i.Classes {
		if c.Runs > 0 {
			lines = append(lines, fmt.Sprintf("class %d: a run takes %s of a core, %s in all (%d runs); held %d within their slices, %d over",
				n, ms(c.CoreTime), ms(c.Wall), c.Runs, c.Within, c.Over))
		}
	}
	return lines
}

// mostNamed is how many requests a line names.
const mostNamed = 10

// stood names the requests that stood before one.
func stood(held, cores []admission.RequestID) []string {
	return []string{"before it in the hold: " + numbers(held), "on the cores: " + numbers(cores)}
}

func numbers(ids []admission.RequestID) string {
	if len(ids) == 0 {
		return "none"
	}
	var b strings.Builder
	for _, id := range ids[:min(len(ids), mostNamed)] {
		fmt.Fprintf(&b, "#%d ", id)
	}
	if n := len(ids) - mostNamed; n > 0 {
		fmt.Fprintf(&b, "and %d more", n)
	}
	return strings.TrimSpace(b.String())
}
