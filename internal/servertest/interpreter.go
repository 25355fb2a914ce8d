// Package servertest starts servers, and fakes of the services that they use, for tests. Its functions fail the test on
// errors, except those that return an error.
package servertest

import (
	"fmt"
	"testing"
	"time"

	"tillerusher/internal/fake"
)

const (
	// WaitTimeout is how long a test waits for an expected event. It is long because events are slow on a loaded machine.
	WaitTimeout = 20 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = time.Millisecond
)

// WaitFor polls until holds returns true, and fails the test after WaitTimeout. condition describes the awaited condition in
// the failure message.
func WaitFor(t testing.TB, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(WaitTimeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", condition)
		}
	}
}

// Interpreter is a fake interpreter that is closed when its test ends.
type Interpreter struct {
	t testing.TB
	*fake.Interpreter
}

// NewInterpreter starts a fake interpreter that is up. It ends a run only when the test calls EndRun or the server stops
// the run.
func NewInterpreter(t testing.TB) *Interpreter {
	t.Helper()
	it, err := fake.NewInterpreter()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(it.Close)
	return &Interpreter{t, it}
}

// AddListener makes the interpreter accept links at an additional address, and returns that address.
func (it *Interpreter) AddListener() string {
	it.t.Helper()
	addr, err := it.Interpreter.AddListener()
	if err != nil {
		it.t.Fatal(err)
	}
	return addr
}

// WaitGaugeReading waits until the server has received the current gauge values. The server sends its next query only after
// it has read the answer to the previous one, unless that query timed out. Once the interpreter has sent two more answers,
// the server has therefore read the first of them.
func (it *Interpreter) WaitGaugeReading() {
	it.t.Helper()
	before := it.GaugeReadings()
	WaitFor(it.t, "two more answers to gauge queries", func() bool { return it.GaugeReadings() >= before+2 })
}

// WaitRuns waits until at least n runs have started, and returns the commands of all started runs.
func (it *Interpreter) WaitRuns(n int) []fake.RunCommand {
	it.t.Helper()
	WaitFor(it.t, fmt.Sprintf("%d runs", n), func() bool { return len(it.StartedRuns()) >= n })
	return it.StartedRuns()
}
