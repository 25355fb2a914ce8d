package replay

import (
	"fmt"
	"strings"
	"time"

	"tillerusher/admission"
)

// timeOfDay is the layout of the time of day for time.Format.
const timeOfDay = "15:04:05.000"

// maxNamedRequests is the maximum number of requests that a line names.
const maxNamedRequests = 10

// Lines returns the trace as lines of text.
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
		lines = append(lines, "Steps:")
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
		kind += ", a retry"
	}
	return fmt.Sprintf("%s, %s, was read at %s UTC (%v of the module's clock), %s after it reached the machine.", id, kind,
		t.UnixTime.UTC().Format(timeOfDay), t.ReadAt.Round(time.Millisecond), milliseconds(t.Request.QueueingDelay))
}

// endLine describes the end of the request and its reason.
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
		return t.servedLine("It was served by the run of another attempt after " + after)
	case StatusCancelled:
		return "Its caller went away after " + after + "."
	case StatusErrored:
		return "Its run ended without a result after " + after + "."
	}
	return "The capture has no answer to it."
}

func (t *RequestTrace) rejectionLine(how, after string) string {
	if t.EndedOnRead && t.AdmissionCheck != nil {
		return fmt.Sprintf("It was %s when it was read: %s.", how, t.AdmissionCheck.Reason)
	}
	if d := t.DecisionAtEnd; d != nil && d.Reason != admission.Admitted {
		return fmt.Sprintf("It was %s after %s while it was %s: %s.", how, after, d.Phase, d.Reason)
	}
	return fmt.Sprintf("It was %s after %s.", how, after)
}

func (t *RequestTrace) servedLine(text string) string {
	if t.Lateness > 0 {
		return fmt.Sprintf("%s, %s after its latency objective.", text, milliseconds(t.Lateness))
	}
	return text + ", in time."
}

func indent(lines []string) []string {
	for i := range lines {
		lines[i] = "  " + lines[i]
	}
	return lines
}

// describeCheck describes the admission check of an arrival and the module's state at the check.
func describeCheck(check *admission.AdmissionCheck, now time.Duration, state *admission.Inspection) []string {
	rate := fmt.Sprintf("impulse size N %.2f including this arrival, T %s since the last arrival; rate %.1f/s", check.ImpulseSize,
		milliseconds(now-check.LastArrival), check.Rate)
	if check.Threshold > 0 {
		rate += fmt.Sprintf(", threshold %.1f/s, ratio %.2f", check.Threshold, check.RateRatio)
	}
	lines := []string{rate}
	if check.Coalesced {
		lines = append(lines, "it repeats a known attempt and is answered with the result of that one")
	}
	lines = append(lines, fmt.Sprintf("predicted wait %s; it could wait %s and still meet its latency objective; its deadline was in %s",
		milliseconds(check.PredictedWait), milliseconds(check.Slack), milliseconds(check.Deadline-now)))
	lines = append(lines, DescribeState(state)...)
	return append(lines, describeRequestsAhead(check.QueuedAhead, check.Running)...)
}

// describeDecision describes the decision on a request that was queued or running, and the module's state at that time.
// decision is nil if the module no longer had the request.
func describeDecision(decision *admission.RequestDecision, now time.Duration, state *admission.Inspection) []string {
	if decision == nil {
		return DescribeState(state)
	}
	lines := []string{fmt.Sprintf("%s; expected run time %s; its latency objective was %s, its deadline %s", decision.Phase,
		milliseconds(decision.ExpectedRunTime), relativeTime(decision.ObjectiveDeadline-now), relativeTime(decision.Deadline-now))}
	lines = append(lines, DescribeState(state)...)
	return append(lines, describeRequestsAhead(decision.QueuedAhead, decision.Running)...)
}

// DescribeState describes the module's state in lines of text.
func DescribeState(state *admission.Inspection) []string {
	lines := []string{
		fmt.Sprintf("queued %d, running %d of a limit of %.1f (at most %.1f), waiting for calls %d%s", state.Queued, state.Running,
			state.ConcurrencyLimit, state.MaxConcurrency, state.Calling, describeConditions(state)),
		fmt.Sprintf("gauges: utilization %.2f, runnable %g; memory %.0f of %.0f kB, %d keys; retries %.0f %% of arrivals, read delay %s",
			state.Utilization, state.Runnable, state.MemoryKB, state.MaxMemoryKB, state.Keys, 100*state.RetryShare,
			milliseconds(state.ReadDelay)),
	}
	for i, class := range state.Classes {
		if class.Samples == 0 {
			continue
		}
		lines = append(lines, fmt.Sprintf(
			"class %d: a run takes %s of core time, %s of wall time (%d runs); queued %d within quota, %d over", i,
			milliseconds(class.CoreTime), milliseconds(class.WallTime), class.Samples, class.QueuedWithinQuota, class.QueuedOverQuota))
	}
	return lines
}

// describeConditions lists the conditions that are true, each after a comma.
func describeConditions(state *admission.Inspection) string {
	conditions := []struct {
		holds bool
		text  string
	}{
		{state.Saturated, "cores saturated"},
		{state.Overloaded, "overloaded"},
		{state.Stalled, "stalled"},
		{state.Draining, "draining"},
		{state.RetryStorm, "retry storm"},
	}
	var list strings.Builder
	for _, c := range conditions {
		if c.holds {
			list.WriteString(", " + c.text)
		}
	}
	return list.String()
}

// describeRequestsAhead lists the requests that were queued ahead of a request, and the running ones.
func describeRequestsAhead(queued, running []admission.RequestID) []string {
	return []string{"queued ahead of it: " + formatIDs(queued), "running: " + formatIDs(running)}
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

// relativeTime formats a time relative to now, which is in the past if fromNow is negative.
func relativeTime(fromNow time.Duration) string {
	if fromNow < 0 {
		return milliseconds(-fromNow) + " ago"
	}
	return "in " + milliseconds(fromNow)
}

// milliseconds formats a duration, rounded to milliseconds.
func milliseconds(d time.Duration) string { return d.Round(time.Millisecond).String() }
