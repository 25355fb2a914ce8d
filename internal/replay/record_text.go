package replay

import (
	"fmt"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/capture"
)

// outcomeTexts are the texts of outcomes, by admission.Outcome.
var outcomeTexts = [...]string{"ok", "errored", "rejected", "timed out", "unreachable", "reset", "cancelled", "moot"}

// formatOutcome returns the text of an outcome that may come from a damaged capture.
func formatOutcome(o admission.Outcome) string {
	if int(o) < len(outcomeTexts) {
		return outcomeTexts[o]
	}
	return fmt.Sprintf("outcome %d", o)
}

// FormatRecord returns a record as a line of text.
func FormatRecord(r *capture.Record) string {
	if r == nil {
		return "nothing"
	}
	switch r.Kind {
	case capture.KindRequest:
		return formatRequest(r.Request)
	case capture.KindRunFinished, capture.KindCallFinished:
		return fmt.Sprintf("%v %d %s", r.Kind, r.ID, formatOutcome(r.Outcome))
	case capture.KindDrain, capture.KindCloseIdleConnections:
		return fmt.Sprintf("%v %v", r.Kind, r.Duration)
	case capture.KindTimer:
		return fmt.Sprintf("timer busy=%g runnable=%g", r.Gauges.Utilization, r.Gauges.Runnable)
	case capture.KindReject:
		text := fmt.Sprintf("refuse %d, stay away %v", r.ID, r.Duration)
		if r.Flag {
			text += ", try nowhere else"
		}
		return text
	case capture.KindCall, capture.KindKeepKey:
		return fmt.Sprintf("%v %d %v", r.Kind, r.ID, r.Duration)
	case capture.KindAdvertiseLoad:
		return fmt.Sprintf("say %g", r.Value)
	case capture.KindSetHealth:
		return fmt.Sprintf("health good=%t from-store=%t", r.Flag, r.FromStore)
	case capture.KindSetTimer:
		return fmt.Sprintf("after %v", r.Duration)
	case capture.KindLog, capture.KindAnnotation:
		return fmt.Sprintf("%v %q", r.Kind, r.Text)
	case capture.KindRequestNames:
		text := fmt.Sprintf("names %d Request-Id=%s", r.ID, r.Text)
		if r.Key != "" {
			text += " key=" + r.Key
		}
		return text
	case capture.KindSettle:
		return "settle"
	}
	return fmt.Sprintf("%v %d", r.Kind, r.ID)
}

func formatRequest(r admission.Request) string {
	text := fmt.Sprintf("request %d class=%d tenant=%d caller=%d waited=%v size=%gKB", r.ID, r.Class, r.Tenant, r.Caller,
		r.QueueingDelay, r.SizeKB)
	if r.IsRetry {
		text += " again"
	}
	if r.RetryOf != 0 {
		text += fmt.Sprintf(" repeats=%d", r.RetryOf)
	}
	return text
}

// stepText returns a record of a request as a step of its trace.
func stepText(r *capture.Record) string {
	switch r.Kind {
	case capture.KindRun:
		return "was run"
	case capture.KindReject:
		text := fmt.Sprintf("was refused, to stay away for %v", r.Duration.Round(time.Millisecond))
		if r.Flag {
			text += " and try no other server"
		}
		return text
	case capture.KindFail:
		return "was answered as failed"
	case capture.KindCancel:
		return "its caller went away"
	case capture.KindKeepKey:
		return fmt.Sprintf("its key was kept for %v", r.Duration.Round(time.Millisecond))
	case capture.KindReleaseKey:
		return "its key was given up"
	case capture.KindReplayResult:
		return "was to be answered by the run of the try it repeats"
	case capture.KindStop:
		return "its run was stopped"
	case capture.KindRunFinished:
		lastOutcome := len(outcomeTexts) - 1
		return "ended: " + outcomeTexts[min(int(r.Outcome), lastOutcome)]
	}
	return FormatRecord(r)
}
