package replay

import (
	"fmt"
	"strings"
	"time"

	"tillerusher/admission"
)

// timeOfDay is the layout of times of day.
const timeOfDay = "15:04:05.000"

// maxNamedRequests is how many requests a line names.
const maxNamedRequests = 10

// Lines returns the trace as text, a line each.
func (t *RequestTrace) Lines() []string {
	lines := []string{t.arrivalLine(), t.endLine()}
	if t.AdmissionCheck != nil {
		lines = append(lines, "When it was read:")
		lines = append(lines, indent(describeCheck(t.AdmissionCheck, t.ReadAt, t.StateOnRead))...)
	}
	if t.StateAtEnd != nil {
		lines = append(lines, fmt.Sprintf("When it ended, %s later:", milliseconds(t.EndAt-t.ReadAt)))
		lines = append(lines, indent(describeDecision(t.DecisionAtEnd, t.EndAt, t.StateAtEnd))...)
	}
	if len(t.Steps) > 0 {
		lines = append(lines, "Step by step:")
		for _, step := range t.Steps {
			clock, sinceRead := step.UnixTime.UTC().Format(timeOfDay), milliseconds(step.At-t.ReadAt)
			lines = append(lines, fmt.Sprintf("  %s  +%s  %s", clock, sinceRead, step.Text))
		}
	}
	return lines
}

// arrivalLine describes the request and its arrival.
func (t *RequestTrace) arrivalLine() string {
	id := fmt.Sprintf("#%d", t.ID)
	if t.WireID != "" {
		id = fmt.Sprintf("%s (#%d)", t.WireID, t.ID)
	}
	kind := t.Class
	if t.Tenant != "" {
		kind += " of " + t.Tenant
	}
	if t.Request.IsRetry {
		kind += ", a further try"
	}
	return fmt.Sprintf("%s, %s, was read at %s UTC (%v of the module's clock), %s after it reached the machine.", id, kind,
		t.UnixTime.UTC().Format(timeOfDay), t.ReadAt.Round(time.Millisecond), milliseconds(t.Request.QueueingDelay))
}

// endLine describes how and why the request ended.
func (t *RequestTrace) endLine() string {
	after := milliseconds(t.EndAt - t.ReadAt)
	switch t.Status {
	case StatusRejected:
		return t.rejectionLine("refused", after)
	case StatusFailed:
		return t.rejectionLine("answered as failed", after)
	case StatusServed:
		return t.servedLine("It was served by its own run after " + after)
	case StatusReplayed:
		return t.servedLine("It was served by the run of another try after " + after)
	case StatusCancelled:
		return "Its caller went away after " + after + "."
	case StatusErrored:
		return "Its run ended without a result after " + after + "."
	}
	return "No answer to it is in the capture."
}

func (t *RequestTrace) rejectionLine(how, after string) string {
	if t.EndedOnRead && t.AdmissionCheck != nil {
		return fmt.Sprintf("It was %s at once: %s.", how, t.AdmissionCheck.Reason)
	}
	if d := t.DecisionAtEnd; d != nil && d.Reason != admission.Admitted {
		return fmt.Sprintf("It was %s after %s while it was %s: %s.", how, after, d.Phase, d.Reason)
	}
	return fmt.Sprintf("It was %s after %s.", how, after)
}

func (t *RequestTrace) servedLine(text string) string {
	if t.Lateness > 0 {
		return fmt.Sprintf("%s, %s later than its aim.", text, milliseconds(t.Lateness))
	}
	return text + ", in time."
}

func indent(lines []string) []string {
	for i := range lines {
		lines[i] = "  " + lines[i]
	}
	return lines
}

// describeCheck describes the admission check of an arrival and the module's state then.
func describeCheck(check *admission.AdmissionCheck, now time.Duration, state *admission.Inspection) []string {
	rate := fmt.Sprintf("N %.2f with it counted, T %s before; rate %.1f/s", check.ImpulseSize, milliseconds(now-check.LastArrival),
		check.Rate)
	if check.Threshold > 0 {
		rate += fmt.Sprintf(" over a threshold of %.1f/s: %.2f times it", check.Threshold, check.RateRatio)
	}
	lines := []string{rate}
	if check.Coalesced {
		lines = append(lines, "it repeats a known try and is answered by what becomes of that")
	}
	lines = append(lines, fmt.Sprintf("predicted wait %s; it could wait %s and still meet its aim; its answer was due in %s",
		milliseconds(check.PredictedWait), milliseconds(check.Slack), milliseconds(check.Deadline-now)))
	lines = append(lines, DescribeState(state)...)
	return append(lines, describeRequestsAhead(check.QueuedAhead, check.Running)...)
}

// describeDecision describes the decision on a request that was queued or ran, and the module's state then. decision is nil
// where the module no longer had the request.
func describeDecision(decision *admission.QueueDecision, now time.Duration, state *admission.Inspection) []string {
	if decision == nil {
		return DescribeState(state)
	}
	lines := []string{fmt.Sprintf("%s; a run of it was expected to take %s; its aim was %s, its due time %s", decision.Phase,
		milliseconds(decision.ExpectedRunTime), relativeTime(decision.ObjectiveDeadline-now), relativeTime(decision.Deadline-now))}
	lines = append(lines, DescribeState(state)...)
	return append(lines, describeRequestsAhead(decision.QueuedAhead, decision.Running)...)
}

// DescribeState describes the module's state, as lines of text.
func DescribeState(state *admission.Inspection) []string {
	lines := []string{
		fmt.Sprintf("held %d, running %d of a limit of %.1f (at most %.1f), at calls %d%s", state.Queued, state.Running,
			state.ConcurrencyLimit, state.MaxConcurrency, state.Calling, describeConditions(state)),
		fmt.Sprintf("gauges: busy %.2f, runnable %g; memory %.0f of %.0f kB, %d keys; further tries %.0f %% of arrivals, unread for %s",
			state.Utilization, state.Runnable, state.MemoryKB, state.MaxMemoryKB, state.Keys, 100*state.RetryShare,
			milliseconds(state.ReadDelay)),
	}
	for i, class := range state.Classes {
		if class.Samples == 0 {
			continue
		}
		lines = append(lines, fmt.Sprintf(
			"class %d: a run takes %s of a core, %s in all (%d runs); held %d within their slices, %d over", i,
			milliseconds(class.CoreTime), milliseconds(class.WallTime), class.Samples, class.QueuedWithinQuota, class.QueuedOverQuota))
	}
	return lines
}

// describeConditions lists the conditions that hold, each after a comma.
func describeConditions(state *admission.Inspection) string {
	conditions := []struct {
		holds bool
		text  string
	}{
		{state.Saturated, "cores full"},
		{state.Overloaded, "pressed"},
		{state.Stalled, "stalled"},
		{state.Draining, "draining"},
		{state.RetryStorm, "a storm of tries"},
	}
	var list strings.Builder
	for _, c := range conditions {
		if c.holds {
			list.WriteString(", " + c.text)
		}
	}
	return list.String()
}

// describeRequestsAhead lists the requests that were queued ahead of one, and those that ran.
func describeRequestsAhead(queued, running []admission.RequestID) []string {
	return []string{"before it in the hold: " + formatIDs(queued), "on the cores: " + formatIDs(running)}
}

func formatIDs(ids []admission.RequestID) string {
	if len(ids) == 0 {
		return "none"
	}
	var list strings.Builder
	for _, id := range ids[:min(len(ids), maxNamedRequests)] {
		fmt.Fprintf(&list, "#%d ", id)
	}
	if more := len(ids) - maxNamedRequests; more > 0 {
		fmt.Fprintf(&list, "and %d more", more)
	}
	return strings.TrimSpace(list.String())
}

// relativeTime formats a time as seen from now.
func relativeTime(fromNow time.Duration) string {
	if fromNow < 0 {
		return milliseconds(-fromNow) + " ago"
	}
	return "in " + milliseconds(fromNow)
}

// milliseconds formats a duration, rounded to milliseconds.
func milliseconds(d time.Duration) string { return d.Round(time.Millisecond).String() }
