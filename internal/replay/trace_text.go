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

// Lines tells a story in sentences, a line each.
func (s *RequestTrace) Lines() []string {
	who := fmt.Sprintf("#%d", s.ID)
	if s.WireID != "" {
		who = s.WireID + " (#" + fmt.Sprint(s.ID) + ")"
	}
	what := s.Class
	if s.Tenant != "" {
		what += " of " + s.Tenant
	}
	if s.Request.IsRetry {
		what += ", a further try"
	}
	lines := []string{fmt.Sprintf("%s, %s, was read at %s UTC (%v of the module's clock), %s after it reached the machine.", who,
		what, s.Unix.UTC().Format(clockTime), s.ReadAt.Round(time.Millisecond), ms(s.Request.QueueingDelay))}
	lines = append(lines, s.ended()...)
	if s.AdmissionCheck != nil {
		lines = append(lines, "When it was read:")
		lines = append(lines, indent(weighed(s.AdmissionCheck, s.ReadAt, s.StateOnRead))...)
	}
	if s.StateAtEnd != nil {
		lines = append(lines, fmt.Sprintf("When it ended, %s later:", ms(s.EndAt-s.ReadAt)))
		lines = append(lines, indent(judged(s.DecisionAtEnd, s.EndAt, s.StateAtEnd))...)
	}
	if len(s.Steps) > 0 {
		lines = append(lines, "Step by step:")
		for _, step := range s.Steps {
			lines = append(lines, fmt.Sprintf("  %s  +%s  %s", step.Unix.UTC().Format(clockTime), ms(step.At-s.ReadAt), step.Text))
		}
	}
	return lines
}

// ended says how and why the request ended.
func (s *RequestTrace) ended() []string {
	after := ms(s.EndAt - s.ReadAt)
	switch s.Status {
	case StatusRejected, StatusFailed:
		word := "refused"
		if s.Status == StatusFailed {
			word = "answered as failed"
		}
		if s.EndedOnRead && s.AdmissionCheck != nil {
			return []string{fmt.Sprintf("It was %s at once: %s.", word, s.AdmissionCheck.Reason)}
		}
		if s.DecisionAtEnd != nil && s.DecisionAtEnd.Reason != admission.Admitted {
			return []string{fmt.Sprintf("It was %s after %s while it was %s: %s.", word, after, s.DecisionAtEnd.Phase, s.DecisionAtEnd.Reason)}
		}
		return []string{fmt.Sprintf("It was %s after %s.", word, after)}
	case StatusServed, StatusReplayed:
		text := "It was served by its own run after " + after
		if s.Status == StatusReplayed {
			text = "It was served by the run of another try after " + after
		}
		if s.Lateness > 0 {
			return []string{text + ", " + ms(s.Lateness) + " later than its aim."}
		}
		return []string{text + ", in time."}
	case StatusCancelled:
		return []string{"Its caller went away after " + after + "."}
	case StatusErrored:
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
func weighed(w *admission.AdmissionCheck, now time.Duration, known *admission.Inspection) []string {
	lines := []string{fmt.Sprintf("N %.2f with it counted, T %s before; rate %.1f/s", w.ImpulseSize, ms(now-w.LastArrival), w.Rate)}
	if w.Threshold > 0 {
		lines[0] += fmt.Sprintf(" over a threshold of %.1f/s: %.2f times it", w.Threshold, w.RateRatio)
	}
	if w.Coalesced {
		lines = append(lines, "it repeats a known try and is answered by what becomes of that")
	}
	lines = append(lines,
		fmt.Sprintf("predicted wait %s; it could wait %s and still meet its aim; its answer was due in %s", ms(w.PredictedWait),
			ms(w.Slack), ms(w.Deadline-now)))
	lines = append(lines, DescribeState(known)...)
	return append(lines, stood(w.QueuedAhead, w.Running)...)
}

// judged says how a request looked that was held or ran.
func judged(j *admission.QueueDecision, now time.Duration, known *admission.Inspection) []string {
	var lines []string
	if j != nil {
		lines = append(lines, fmt.Sprintf("%s; a run of it was expected to take %s; its aim was %s, its due time %s", j.Phase,
			ms(j.ExpectedRunTime), relative(j.ObjectiveDeadline-now), relative(j.Deadline-now)))
	}
	lines = append(lines, DescribeState(known)...)
	if j != nil {
		lines = append(lines, stood(j.QueuedAhead, j.Running)...)
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

// DescribeState says what the module knew.
func DescribeState(i *admission.Inspection) []string {
	flags := ""
	for _, f := range []struct {
		is   bool
		text string
	}{{i.Saturated, "cores full"}, {i.Overloaded, "pressed"}, {i.Stalled, "stalled"}, {i.Draining, "draining"}, {i.RetryStorm, "a storm of tries"}} {
		if f.is {
			flags += ", " + f.text
		}
	}
	lines := []string{
		fmt.Sprintf("held %d, running %d of a limit of %.1f (at most %.1f), at calls %d%s", i.Queued, i.Running, i.ConcurrencyLimit, i.MaxConcurrency,
			i.Calling, flags),
		fmt.Sprintf("gauges: busy %.2f, runnable %g; memory %.0f of %.0f kB, %d keys; further tries %.0f %% of arrivals, unread for %s",
			i.Utilization, i.Runnable, i.MemoryKB, i.MaxMemoryKB, i.Keys, 100*i.RetryShare, ms(i.ReadDelay))}
	for n, c := range i.Classes {
		if c.Samples > 0 {
			lines = append(lines, fmt.Sprintf("class %d: a run takes %s of a core, %s in all (%d runs); held %d within their slices, %d over",
				n, ms(c.CoreTime), ms(c.WallTime), c.Samples, c.QueuedWithinQuota, c.QueuedOverQuota))
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
