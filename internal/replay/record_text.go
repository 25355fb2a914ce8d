package replay

import (
	"fmt"

	"tillerusher/internal/capture"
)

// outcomes are the words for how a run ended.
var outcomes = [...]string{"ok", "errored", "rejected", "timed out", "unreachable", "reset", "cancelled", "moot"}

// FormatRecord says a record in one line.
func FormatRecord(r *capture.Record) string {
	if r == nil {
		return "nothing"
	}
	switch r.Kind {
	case capture.KindRequest:
		q := r.Request
		s := fmt.Sprintf("request %d class=%d tenant=%d caller=%d waited=%v size=%gKB", q.ID, q.Class, q.Tenant, q.Caller,
			q.QueueingDelay, q.SizeKB)
		if q.IsRetry {
			s += " again"
		}
		if q.RetryOf != 0 {
			s += fmt.Sprintf(" repeats=%d", q.RetryOf)
		}
		return s
	case capture.KindRunFinished, capture.KindCallFinished:
		word := fmt.Sprintf("outcome %d", r.Outcome)
		if int(r.Outcome) < len(outcomes) {
			word = outcomes[r.Outcome]
		}
		return fmt.Sprintf("%v %d %s", r.Kind, r.ID, word)
	case capture.KindDrain, capture.KindCloseIdleConnections:
		return fmt.Sprintf("%v %v", r.Kind, r.Duration)
	case capture.KindTimer:
		return fmt.Sprintf("timer busy=%g runnable=%g", r.Gauges.Utilization, r.Gauges.Runnable)
	case capture.KindReject:
		s := fmt.Sprintf("refuse %d, stay away %v", r.ID, r.Duration)
		if r.Flag {
			s += ", try nowhere else"
		}
		return s
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
		if r.Key != "" {
			return fmt.Sprintf("names %d Request-Id=%s key=%s", r.ID, r.Text, r.Key)
		}
		return fmt.Sprintf("names %d Request-Id=%s", r.ID, r.Text)
	case capture.KindSettle:
		return "settle"
	}
	return fmt.Sprintf("%v %d", r.Kind, r.ID)
}
