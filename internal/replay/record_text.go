package replay

import (
	"fmt"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/capture"
)

// outcomeTexts are the texts of outcomes, by admission.Outcome. They are part of values in JSON.
var outcomeTexts = [...]string{"ok", "errored", "rejected", "timed out", "unreachable", "reset", "cancelled", "moot"}

// formatOutcome returns the text of an outcome, or its number if it is unknown, as in a damaged capture.
func formatOutcome(o admission.Outcome) string {
	if int(o) < len(outcomeTexts) {
		return outcomeTexts[o]
	}
	return fmt.Sprintf("outcome %d", o)
}

// FormatRecord formats a record as a line of text. A nil record is formatted as "nothing".
func FormatRecord(record *capture.Record) string {
	if record == nil {
		return "nothing"
	}
	switch record.Kind {
	case capture.KindRequest:
		return formatRequest(record.Request)
	case capture.KindRunFinished, capture.KindCallFinished:
		return fmt.Sprintf("%v %d %s", record.Kind, record.ID, formatOutcome(record.Outcome))
	case capture.KindDrain, capture.KindCloseIdleConnections:
		return fmt.Sprintf("%v %v", record.Kind, record.Duration)
	case capture.KindTimer:
		return fmt.Sprintf("timer busy=%g runnable=%g", record.Gauges.Utilization, record.Gauges.Runnable)
	case capture.KindReject:
		text := fmt.Sprintf("refuse %d, retry after %v", record.ID, record.Duration)
		if record.Flag {
			text += ", not at another server"
		}
		return text
	case capture.KindCall, capture.KindKeepKey:
		return fmt.Sprintf("%v %d %v", record.Kind, record.ID, record.Duration)
	case capture.KindAdvertiseLoad:
		return fmt.Sprintf("say %g", record.Value)
	case capture.KindSetHealth:
		return fmt.Sprintf("health good=%t from-store=%t", record.Flag, record.FromStore)
	case capture.KindSetTimer:
		return fmt.Sprintf("after %v", record.Duration)
	case capture.KindLog, capture.KindAnnotation:
		return fmt.Sprintf("%v %q", record.Kind, record.Text)
	case capture.KindRequestNames:
		text := fmt.Sprintf("names %d Request-Id=%s", record.ID, record.Text)
		if record.Key != "" {
			text += " key=" + record.Key
		}
		return text
	case capture.KindSettle:
		return "settle"
	}
	return fmt.Sprintf("%v %d", record.Kind, record.ID)
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

// stepText formats a record of a request as the text of a step in its trace. The texts are values in JSON.
func stepText(record *capture.Record) string {
	switch record.Kind {
	case capture.KindRun:
		return "was run"
	case capture.KindReject:
		text := fmt.Sprintf("was refused, to stay away for %v", record.Duration.Round(time.Millisecond))
		if record.Flag {
			text += " and try no other server"
		}
		return text
	case capture.KindFail:
		return "was answered as failed"
	case capture.KindCancel:
		return "its caller went away"
	case capture.KindKeepKey:
		return fmt.Sprintf("its key was kept for %v", record.Duration.Round(time.Millisecond))
	case capture.KindReleaseKey:
		return "its key was given up"
	case capture.KindReplayResult:
		return "was to be answered by the run of the try it repeats"
	case capture.KindStop:
		return "its run was stopped"
	case capture.KindRunFinished:
		lastOutcome := len(outcomeTexts) - 1
		return "ended: " + outcomeTexts[min(int(record.Outcome), lastOutcome)]
	}
	return FormatRecord(record)
}
