// Package testkit starts the stand-ins of internal/fake and nodes for tests, and fails the test where they can't
// go on.
package servertest

import (
	"fmt"
	"testing"
	"time"

	"tillerusher/internal/fake"
)

// WaitTimeout is how long a test waits for what has to come; a loaded machine may need much of it.
const WaitTimeout = 20 * time.Second

// WaitFor polls until the condition holds.
func WaitFor(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(WaitTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain: %s", what)
		}
	}
}

// Interpreter is an interpreter that ends with its test.
type Interpreter struct {
	t testing.TB
	*fake.Interpreter
}

// NewInterpreter starts an interpreter that is up and ends runs only when told.
func NewInterpreter(t testing.TB) *Interpreter {
	t.Helper()
	it, err := fake.NewInterpreter()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(it.Close)
	return &Interpreter{t, it}
}

// AddListener has the same interpreter accept links at a new address too, and returns that.
func (it *Interpreter) AddListener() string {
	it.t.Helper()
	addr, err := it.Interpreter.AddListener()
	if err != nil {
		it.t.Fatal(err)
	}
	return addr
}

// WaitGaugeReading waits until what the gauges read now has come to the server: it asks for them again only once it has read them.
func (it *Interpreter) WaitGaugeReading() {
	it.t.Helper()
	from := it.GaugeReadings()
	WaitFor(it.t, "readings of the gauges", func() bool { return it.GaugeReadings() >= from+2 })
}

// WaitRuns waits until so many runs were started, and returns them.
func (it *Interpreter) WaitRuns(n int) []fake.RunCommand {
	it.t.Helper()
	WaitFor(it.t, fmt.Sprintf("%d runs", n), func() bool { return len(it.StartedRuns()) >= n })
	return it.StartedRuns()
}
