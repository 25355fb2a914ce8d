// Package servertest starts servers, and fakes of the services they use, for tests. Its functions fail the test on errors.
package servertest

import (
	"fmt"
	"testing"
	"time"

	"tillerusher/internal/fake"
)

const (
	// WaitTimeout is how long a test waits for an expected event. On a loaded machine that may take long.
	WaitTimeout = 20 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = time.Millisecond
)

// WaitFor polls until the condition holds.
func WaitFor(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(WaitTimeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain: %s", what)
		}
	}
}

// Interpreter is a fake interpreter that ends with its test.
type Interpreter struct {
	t testing.TB
	*fake.Interpreter
}

// NewInterpreter starts an interpreter that is up and ends runs only by EndRun.
func NewInterpreter(t testing.TB) *Interpreter {
	t.Helper()
	it, err := fake.NewInterpreter()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(it.Close)
	return &Interpreter{t, it}
}

// AddListener has the interpreter accept links at a new address too, and returns that.
func (it *Interpreter) AddListener() string {
	it.t.Helper()
	addr, err := it.Interpreter.AddListener()
	if err != nil {
		it.t.Fatal(err)
	}
	return addr
}

// WaitGaugeReading waits until the server has what the gauges read now. The server asks again only after it has read an
// answer, so it has the first of two further readings once the second is sent.
func (it *Interpreter) WaitGaugeReading() {
	it.t.Helper()
	before := it.GaugeReadings()
	WaitFor(it.t, "readings of the gauges", func() bool { return it.GaugeReadings() >= before+2 })
}

// WaitRuns waits until n runs have started, and returns all that have.
func (it *Interpreter) WaitRuns(n int) []fake.RunCommand {
	it.t.Helper()
	WaitFor(it.t, fmt.Sprintf("%d runs", n), func() bool { return len(it.StartedRuns()) >= n })
	return it.StartedRuns()
}
