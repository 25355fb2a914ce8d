// The exact state of an Instance as bytes, and an Instance made from them. Nothing here decides.

package admission

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// snapshotVersion is the first byte of a snapshot. It changes with every change of the state's fields; those of an older
// version are read, and what they do not carry is as it is in a new Instance.
const snapshotVersion = 3

// ErrSnapshot says that bytes are no snapshot of this version of the module.
var ErrSnapshot = errors.New("tillerusher: no snapshot of this module")

// Snapshot appends the whole state to the bytes: the settings, what is held and running, and all that was
// learned. It may be called between events only, never from within an action.
func (in *Instance) Snapshot(to []byte) []byte {
	c := coder{b: append(to, snapshotVersion), version: snapshotVersion}
	c.instance(in)
	return c.b
}

// Restore returns an Instance that decides on what follows just as the one did of which the snapshot was taken,
// or an error that wraps ErrSnapshot.
func Restore(from []byte, a Actions) (*Instance, error) { return RestoreWith(from, a, nil) }

// RestoreWith is Restore with the settings changed, for asking what would have been. Classes and tenants can be
// changed, but not their number.
func RestoreWith(from []byte, a Actions, change func(*Settings) error) (*Instance, error) {
	if len(from) == 0 || from[0] < 1 || from[0] > snapshotVersion {
		return nil, fmt.Errorf("%w: versions 1 to %d are known", ErrSnapshot, snapshotVersion)
	}
	c := coder{b: from[1:], version: from[0], reading: true}
	in := &Instance{actions: a, byID: map[RequestID]*request{}, notStarted: map[RequestID]bool{}}
	c.instance(in)
	switch {
	case c.err != nil:
		return nil, c.err
	case len(c.b) > 0:
		return nil, fmt.Errorf("%w: %d bytes too many", ErrSnapshot, len(c.b))
	}
	if change != nil {
		if err := in.change(change); err != nil {
			return nil, err
		}
	}
	if err := validate(in.settings); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	return in, nil
}

// change alters the settings and what follows from them.
func (in *Instance) change(change func(*Settings) error) error {
	s := in.settings
	s.Classes, s.Tenants = slices.Clone(s.Classes), slices.Clone(s.Tenants)
	if err := change(&s); err != nil {
		return err
	}
	if len(s.Classes) != len(in.settings.Classes) || len(s.Tenants) != len(in.settings.Tenants) {
		return errors.New("tillerusher: the number of classes and tenants cannot be changed")
	}
	fresh, err := New(s, in.actions)
	if err != nil {
		return err
	}
	in.settings, in.longestObjective, in.totalQuota, in.decay = s, fresh.longestObjective, fresh.totalQuota, fresh.decay
	return nil
}

// Settings returns what the Instance was told at its start.
func (in *Instance) Settings() Settings { return in.settings }

// coder walks the state once for both directions, so that neither can forget what the other carries.
type coder struct {
	b       []byte // what was written, or is still to be read
	version byte
	reading bool
	err     error
}

// fail ends reading; all that follows reads as zero.
func (c *coder) fail(what string) {
	if c.err == nil {
		c.err = fmt.Errorf("%w: %s", ErrSnapshot, what)
	}
	c.b = nil
}

// whole carries a whole number of any kind.
func whole[T ~int | ~int64 | ~uint8 | ~uint32 | ~uint64](c *coder, p *T) {
	if !c.reading {
		c.b = binary.AppendVarint(c.b, int64(*p))
		return
	}
	v, n := binary.Varint(c.b)
	if n <= 0 {
		c.fail("it ends early")
		return
	}
	if c.b = c.b[n:]; int64(T(v)) != v {
		c.fail("a number is out of range")
		return
	}
	*p = T(v)
}

func (c *coder) float(p *float64) {
	if !c.reading {
		c.b = binary.LittleEndian.AppendUint64(c.b, math.Float64bits(*p))
		return
	}
	if len(c.b) < 8 {
		c.fail("it ends early")
		return
	}
	*p = math.Float64frombits(binary.LittleEndian.Uint64(c.b))
	c.b = c.b[8:]
}

func (c *coder) floats(ps ...*float64) {
	for _, p := range ps {
		c.float(p)
	}
}

func (c *coder) times(ps ...*time.Duration) {
	for _, p := range ps {
		whole(c, p)
	}
}

func (c *coder) bools(ps ...*bool) {
	for _, p := range ps {
		v := uint8(0)
		if *p {
			v = 1
		}
		whole(c, &v)
		*p = v == 1
	}
}

// list carries a slice, element by element; an empty one comes back as nil.
func list[T any](c *coder, p *[]T, element func(*T)) {
	n := len(*p)
	whole(c, &n)
	if c.reading {
		if n < 0 || n > len(c.b) { // each element takes a byte at least
			c.fail("a list is longer than what is left")
			return
		}
		*p = nil
		if n > 0 {
			*p = make([]T, n)
		}
	}
	for i := range *p {
		element(&(*p)[i])
	}
}

func (c *coder) settings(s *Settings) {
	whole(c, &s.Servers)
	whole(c, &s.Callers)
	whole(c, &s.Cores)
	list(c, &s.Classes, func(k *Class) {
		c.times(&k.LatencyObjective, &k.Deadline, &k.KeyWindow)
		c.floats(&k.ObjectiveStretch, &k.Weight, &k.LateWeight, &k.SkippedCallWeight)
		whole(c, &k.Effect)
	})
	list(c, &s.Tenants, func(t *Tenant) { c.float(&t.Quota) })
	c.times(&s.Tick, &s.WarmUpTime, &s.DrainGracePeriod, &s.CallAveragingTime, &s.CallLinger, &s.MaxRetryAfter, &s.ResultFreshness, &s.CallerIdleTimeout)
	c.floats(&s.InitialCapacity, &s.MemoryKB, &s.KeyKB, &s.RunningMemoryFactor, &s.MaxConcurrencyFactor, &s.FairCallShare)
	c.bools(&s.WarmingUp, &s.HasDeadlines)
	whole(c, &s.StopMode)
	whole(c, &s.Downstream)
	whole(c, &s.Feedback)
	if c.version > 1 {
		c.bools(&s.IndependentRuns)
	}
}

func (c *coder) estimate(e *rateEstimate) {
	c.float(&e.impulse)
	c.times(&e.updatedAt)
}

func (c *coder) key(k *keyEntry) {
	c.times(&k.expiresAt)
	c.bools(&k.isReleased)
}

// request carries one request without its pointers.
func (c *coder) request(r *request) {
	whole(c, &r.id)
	whole(c, &r.class)
	whole(c, &r.state)
	whole(c, &r.quota)
	whole(c, &r.callFailures)
	c.times(&r.deadline, &r.objectiveDeadline, &r.arrivedAt, &r.nextCallAt, &r.startedAt)
	c.bools(&r.isRetry, &r.isShareable, &r.hasRun)
	c.floats(&r.rateRatio, &r.sizeKB, &r.coreTime, &r.partStart)
}

// instance carries everything.
func (c *coder) instance(in *Instance) {
	c.settings(&in.settings)
	c.times(&in.startedAt, &in.now, &in.longestObjective, &in.idleTimeout, &in.noticedAt, &in.stopAt, &in.nextPoll, &in.nextDeadline, &in.timerAt)
	c.bools(&in.isStarted, &in.isStalled, &in.isDraining, &in.isHealthy)
	whole(c, &in.keyCount)
	whole(c, &in.running)
	whole(c, &in.offCore)
	whole(c, &in.callsInFlight)
	c.floats(&in.queuedKB, &in.runningKB, &in.decay, &in.totalQuota, &in.liveCallers, &in.withinQuotaShare, &in.retryShare, &in.readDelay, &in.coreClock,
		&in.progressAt, &in.utilization, &in.runnable, &in.concurrencyLimit, &in.callTime, &in.callDebt, &in.trafficWeight, &in.advertised)
	if c.version > 1 {
		c.float(&in.longestRun)
	}
	if c.version > 2 {
		c.times(&in.callLearnedAt)
	}
	list(c, &in.senders, c.estimate)
	c.estimate(&in.completions)
	c.estimate(&in.arrivals)
	list(c, &in.classes, func(k *classState) {
		c.floats(&k.coreTime, &k.wallTime)
		whole(c, &k.samples)
		whole(c, &k.queued[0])
		whole(c, &k.queued[1])
		c.times(&k.callerTimeout)
		if c.version > 2 {
			whole(c, &k.consecutiveFailures)
			c.times(&k.lastFailureAt, &k.learnedAt)
			c.estimate(&k.started)
			c.estimate(&k.rejected)
			c.bools(&k.isStarved)
			for why := range k.rejections {
				whole(c, &k.rejections[why])
			}
		}
	})
	unrun := make([]int, 0, len(in.notStarted))
	for id := range in.notStarted {
		unrun = append(unrun, int(id))
	}
	slices.Sort(unrun) // equal states give equal bytes
	list(c, &unrun, func(id *int) { whole(c, id) })
	for _, id := range unrun {
		in.notStarted[RequestID(id)] = true
	}
	c.requests(in)
}

// requests carries the requests, the keys, and who points to whom by the numbers of their places.
func (c *coder) requests(in *Instance) {
	list(c, &in.keys, func(of *[]*keyEntry) {
		list(c, of, func(k **keyEntry) {
			if c.reading {
				*k = &keyEntry{}
			}
			c.key(*k)
		})
	})
	list(c, &in.byArrival, func(r **request) {
		if c.reading {
			*r = &request{}
		}
		c.request(*r)
	})
	keys := slices.Concat(in.keys...)
	keyAt := make(map[*keyEntry]int, len(keys))
	for i, k := range keys {
		keyAt[k] = i
	}
	at := make(map[*request]int, len(in.byArrival))
	for i, r := range in.byArrival {
		at[r] = i
	}
	for _, r := range in.byArrival {
		// A request may keep a key that ran out of the table, or point to one that is over and swept.
		if kind := pointer(c, &r.key, keys, keyAt); kind == detached {
			if c.reading {
				r.key = &keyEntry{}
			}
			c.key(r.key)
		}
		if kind := pointer(c, &r.original, in.byArrival, at); kind == detached && c.reading {
			r.original = &request{state: stateFinished}
		}
	}
	list(c, &in.queue, func(r **request) { pointer(c, r, in.byArrival, at) })
	if slices.Contains(in.queue, nil) {
		c.fail("a held request is missing")
	}
	if !c.reading || c.err != nil {
		return
	}
	if len(in.classes) != len(in.settings.Classes) || len(in.keys) != len(in.settings.Classes) {
		c.fail("its lists do not fit its classes")
	}
	for _, r := range in.byArrival {
		if r.class < 0 || r.class >= len(in.settings.Classes) || r.quota < 0 || r.quota > 1 || r.state > stateFinished {
			c.fail("a request is out of range")
			return
		}
		if r.state != stateFinished {
			in.byID[r.id] = r
		}
	}
}

// What stands for pointers that lead to no place in a list.
const (
	absent   = -1
	detached = -2
)

// pointer carries a pointer as the number of its place, or as what it is instead, and returns that.
func pointer[T any](c *coder, p **T, places []*T, at map[*T]int) int {
	place, ok := at[*p]
	switch {
	case *p == nil:
		place = absent
	case !ok:
		place = detached
	}
	whole(c, &place)
	if c.reading && place >= 0 {
		if place >= len(places) {
			c.fail("it points beyond a list")
			return absent
		}
		*p = places[place]
	}
	return place
}
