package admission_test

import (
	"fmt"
	"time"

	"tillerusher/admission"
)

// printer carries out the few actions that this example needs. The other methods are promoted from the nil interface
// and must not be called.
type printer struct{ admission.Actions }

func (printer) Run(id admission.RequestID) { fmt.Println("run", id) }
func (printer) Reject(id admission.RequestID, retryAfter time.Duration, _ bool) {
	fmt.Println("reject", id, "retry after", retryAfter)
}
func (printer) SetHealth(healthy, _ bool)          { fmt.Println("healthy:", healthy) }
func (printer) SetTimer(time.Duration, uint32)     {} // a server would set a timer that calls Instance.Timer
func (printer) CloseIdleConnections(time.Duration) {}
func (printer) Log(line string)                    { fmt.Println("log:", line) }

// A server with one class of requests runs one request, drains, and rejects a request that arrives after the grace
// period.
func Example() {
	settings := admission.Settings{
		Servers: 3, Callers: 2, Cores: 4, Tick: 5 * time.Millisecond,
		Classes:  []admission.Class{{LatencyObjective: time.Second, Deadline: 3 * time.Second, Weight: 1}},
		Tenants:  []admission.Tenant{{Quota: 30}},
		MemoryKB: 1 << 20, RunningMemoryFactor: 4, MaxConcurrencyFactor: 6, DrainGracePeriod: 2 * time.Second,
		MaxRetryAfter: time.Second, HasDeadlines: true,
	}
	instance, err := admission.New(settings, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Duration(0) // since the server's start
	instance.Settle(now)

	now += 10 * time.Millisecond
	instance.Request(now, admission.Request{ID: 1, SizeKB: 20, RemainingTime: 3 * time.Second})
	instance.Settle(now) // once after each group of simultaneous events

	now += 200 * time.Millisecond
	instance.RunFinished(now, 1, admission.OK)
	instance.Drain(now, 5*time.Second)
	instance.Settle(now)

	now += 2500 * time.Millisecond
	instance.Request(now, admission.Request{ID: 2, SizeKB: 20, RemainingTime: 3 * time.Second})
	instance.Settle(now)
	// Output:
	// healthy: true
	// run 1
	// log: drain: 0 held, 0 running
	// reject 2 retry after 1s
}
