package baseline

import (
	"fmt"
	"reflect"
	"time"
	"unsafe"

	"github.com/failsafe-go/failsafe-go/adaptivelimiter"

	"tillerusher/admission"
)

// Parameters of the adaptive limiter.
const (
	gradientQueuePerCore = 4
	gradientMinLimit     = 1
	gradientMaxPerCore   = 200
	gradientMinWindow    = 500 * time.Millisecond
	gradientMaxWindow    = 2 * time.Second
	gradientMinSamples   = 20
)

// gradient runs as many requests as an adaptive limiter allows, behind a short queue.
type gradient struct {
	*host
	limiter    adaptivelimiter.AdaptiveLimiter[any]
	clock      *virtualClock
	queueLimit int
}

// Gradient returns a policy that uses the adaptive concurrency limiter of the failsafe-go library
// (github.com/failsafe-go/failsafe-go/adaptivelimiter) behind a queue of four requests per core.
//
// The limiter reads the wall clock and has no option for another clock. The policy therefore overwrites unexported fields of
// the library: the time of the limiter's next update, and the clock and the start time of each permit. Gradient returns an
// error if a later version of the library has another limiter; TestGradient fails if it has other permits.
func Gradient(settings admission.Settings, actions admission.Actions) (admission.Events, error) {
	policyHost := newHost(settings, actions)
	adaptive := &gradient{host: policyHost, clock: &virtualClock{}, queueLimit: gradientQueuePerCore * settings.Cores}
	adaptive.limiter = adaptivelimiter.NewBuilder[any]().
		WithLimits(gradientMinLimit, uint(max(gradientMaxPerCore*settings.Cores, 2)), uint(settings.Cores)).
		WithRecentWindow(gradientMinWindow, gradientMaxWindow, gradientMinSamples).
		Build()
	if err := setPrivateField(adaptive.limiter, "nextUpdateTime", epoch); err != nil {
		return nil, err
	}
	policyHost.policy = adaptive
	return policyHost, nil
}

// epoch is the time that the virtual clock returns at virtual time 0.
var epoch = time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)

// virtualClock implements the library's clock interface with virtual time.
type virtualClock struct{ now time.Duration }

// Now returns the virtual time.
func (c *virtualClock) Now() time.Time { return epoch.Add(c.now) }

// setPrivateField sets the unexported field name of the struct that target points to. It returns an error if there is no
// such field or if it has another type.
func setPrivateField(target any, name string, value any) error {
	v := reflect.Indirect(reflect.ValueOf(target))
	field := v.FieldByName(name)
	if !field.IsValid() || !reflect.TypeOf(value).AssignableTo(field.Type()) {
		return fmt.Errorf("baseline: %T has no field %s that takes a %T", target, name, value)
	}
	reflect.NewAt(field.Type(), unsafe.Pointer(field.UnsafeAddr())).Elem().Set(reflect.ValueOf(value))
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
		return nil // TestGradient fails if the library no longer has these fields
	}
	next := g.oldest()
	if next.permit != nil { // the host could not run the request after the previous call
		next.permit.(adaptivelimiter.Permit).Drop()
	}
	next.permit = permit
	return next
}

func (g *gradient) runEnded(r *request, succeeded bool) {
	g.clock.now = g.now
	permit, ok := r.permit.(adaptivelimiter.Permit)
	switch {
	case !ok:
	case succeeded:
		permit.Record()
	default:
		permit.Drop()
	}
}

func (g *gradient) poll(admission.Gauges) {}
