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

// runState is how far the run of an attempt has come.
type runState uint8

const (
	runPending   runState = iota // not begun
	runInFlight                  // begun, not finished
	runSucceeded                 // finished with a result
	runFailed                    // finished without a result
)

// attempt is one request of a gateway, from the time it is read until it is answered and its run has ended. Callers
// retry, so several attempts may belong to one request of a caller.
type attempt struct {
	Request

	id      admission.RequestID
	conn    *gatewayConn
	stream  gateway.StreamID
	retryOf *attempt // the attempt whose run or result may answer this one, or nil

	isAnswered bool // its answer was sent, or nobody waits for it
	state      runState
	finishedAt time.Duration // by the module's clock, where the run succeeded
	// isIntentPending says that the intent of the run is being written: the backend has not been asked for it yet.
	isIntentPending bool
	// isStopRequested says that a run whose intent is pending will not be asked for.
	isStopRequested bool

	result    gateway.Response // kept for retries
	hasResult bool
	isExpired bool       // no retry can find it any more
	waiters   []*attempt // retries that wait for the end of its run
}

// attemptTable holds the attempts that are not answered or whose run is in flight. Each is in both maps from add to
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

// nextID returns an ID for the module that no attempt of this process has had.
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

// checkRequestID returns an error where the request ID is that of another attempt, open or recent.
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

// sortedByArrival returns attempts in the order of reading, so that what is done to several of them does not depend on
// the iteration order of maps.
func sortedByArrival[K comparable](attempts map[K]*attempt) []*attempt {
	list := make([]*attempt, 0, len(attempts))
	for _, a := range attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
	return list
}
