package baseline

import (
	"fmt"
	"reflect"
	"time"
	"unsafe"

	"github.com/failsafe-go/failsafe-go/adaptivelimiter"

	"tillerusher/admission"
)

// gradient runs as many requests as the adaptive limiter of failsafe-go lets it, and turns the others away once a short
// line stands.
type gradient struct {
	*host
	limiter    adaptivelimiter.AdaptiveLimiter[any]
	clock      *virtualClock
	queueLimit int
}

// Gradient is the adaptive concurrency limit of failsafe-go (github.com/failsafe-go/failsafe-go/adaptivelimiter), the
// library itself, with a line of four requests a core before it. The limiter reads the wall clock and offers no other, so
// its permits are given this package's clock; that reaches into fields that are not exported, and fails with an error
// where another version of the library has other ones.
func Gradient(s admission.Settings, a admission.Actions) (admission.Events, error) {
	b := newHost(s, a)
	g := &gradient{host: b, clock: &virtualClock{}, queueLimit: 4 * s.Cores}
	g.limiter = adaptivelimiter.NewBuilder[any]().WithLimits(1, uint(max(200*s.Cores, 2)), uint(s.Cores)).
		WithRecentWindow(500*time.Millisecond, 2*time.Second, 20).Build()
	if err := setPrivateField(g.limiter, "nextUpdateTime", epoch); err != nil {
		return nil, err
	}
	b.policy = g
	return b, nil
}

// epoch is the wall time at which the virtual clock begins.
var epoch = time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)

// virtualClock is a clock as the limiter wants one.
type virtualClock struct{ now time.Duration }

// Now is the time.
func (v *virtualClock) Now() time.Time { return epoch.Add(v.now) }

// settings gives a field of a value of the library another content.
func setPrivateField(of any, field string, to any) error {
	v := reflect.Indirect(reflect.ValueOf(of))
	f := v.FieldByName(field)
	if !f.IsValid() || !reflect.TypeOf(to).AssignableTo(f.Type()) {
		return fmt.Errorf("peer: %T has no field %s that takes a %T", of, field, to)
	}
	reflect.NewAt(f.Type(), unsafe.Pointer(f.UnsafeAddr())).Elem().Set(reflect.ValueOf(to))
	return nil
}

func (g *gradient) admit(*request) verdict {
	if len(g.queue) >= g.queueLimit {
		return verdictReject
	}
	return verdictQueue
}

func (g *gradient) nextToRun() *request {
	g.clock.now = g.now
	permit, ok := g.limiter.TryAcquirePermit()
	if !ok {
		return nil
	}
	if setPrivateField(permit, "clock", g.clock) != nil || setPrivateField(permit, "startTime", g.clock.Now()) != nil {
		return nil // New would have found it: TestGradient holds the library to it
	}
	r := g.oldest()
	if r.permit != nil { // the base could not run it the last time
		r.permit.(adaptivelimiter.Permit).Drop()
	}
	r.permit = permit
	return r
}

func (g *gradient) runEnded(r *request, ok bool) {
	g.clock.now = g.now
	permit, held := r.permit.(adaptivelimiter.Permit)
	switch {
	case !held:
	case ok:
		permit.Record()
	default:
		permit.Drop()
	}
}

func (g *gradient) poll(admission.Gauges) {}
