package server

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/gateway"
)

// runState is the progress of an attempt's run.
type runState uint8

const (
	runPending   runState = iota // not started
	runInFlight                  // started, not finished
	runSucceeded                 // finished with a result
	runFailed                    // finished without a result
)

// attempt is one request of a gateway, from when it is read until it is answered and its run has ended. Callers retry,
// so one request of a caller may have several attempts.
type attempt struct {
	Request

	id      admission.RequestID
	conn    *gatewayConn
	stream  gateway.StreamID
	retryOf *attempt // the attempt whose run or result may answer this one, or nil

	isAnswered bool // its answer was sent, or its caller no longer waits
	state      runState
	finishedAt time.Duration // on the module's clock, if the run succeeded
	// isIntentPending is set while the intent of the run is being written. The backend has not been asked for the run yet.
	isIntentPending bool
	// isStopRequested is set if the run must not start once its intent is written.
	isStopRequested bool

	result    gateway.Response // stored for retries
	hasResult bool
	isExpired bool       // retries no longer find it
	waiters   []*attempt // retries that wait for the end of its run
}

// attemptTable holds the attempts that are unanswered or whose run is in flight. Each is in both maps from add to
// remove.
type attemptTable struct {
	byID        map[admission.RequestID]*attempt
	byRequestID map[string]*attempt
	lastID      admission.RequestID
	recent      recentIDs
}

// newAttemptTable returns an empty table.
func newAttemptTable(recent recentIDs) attemptTable {
	return attemptTable{byID: map[admission.RequestID]*attempt{}, byRequestID: map[string]*attempt{}, recent: recent}
}

// nextID returns an ID for the module that no other attempt of this process has.
func (t *attemptTable) nextID() admission.RequestID {
	t.lastID++
	return t.lastID
}

// add inserts an attempt.
func (t *attemptTable) add(a *attempt) {
	t.byID[a.id], t.byRequestID[a.RequestID] = a, a
}

// remove deletes an attempt.
func (t *attemptTable) remove(a *attempt) {
	delete(t.byID, a.id)
	delete(t.byRequestID, a.RequestID)
}

// checkRequestID adds a request ID to the recent ones. It returns an error if an open or recent attempt has the same ID.
func (t *attemptTable) checkRequestID(requestID string, now time.Duration) error {
	number, err := strconv.ParseUint(requestID, 16, 64)
	if err != nil {
		return fmt.Errorf("field Request-Id: %w", err)
	}
	if t.byRequestID[requestID] != nil || !t.recent.add(number, now) {
		return errDuplicateRequestID
	}
	return nil
}

// sortedByArrival returns attempts in the order in which they were read, so that loops over them do not depend on the
// iteration order of maps.
func sortedByArrival[K comparable](attempts map[K]*attempt) []*attempt {
	list := make([]*attempt, 0, len(attempts))
	for _, a := range attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
	return list
}
