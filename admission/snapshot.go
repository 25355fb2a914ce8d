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
	in := &Instance{do: a, byID: map[RequestID]*request{}, unrun: map[RequestID]bool{}}
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
	if err := validate(in.set); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	return in, nil
}

// change alters the settings and what follows from them.
func (in *Instance) change(change func(*Settings) error) error {
	s := in.set
	s.Classes, s.Tenants = slices.Clone(s.Classes), slices.Clone(s.Tenants)
	if err := change(&s); err != nil {
		return err
	}
	if len(s.Classes) != len(in.set.Classes) || len(s.Tenants) != len(in.set.Tenants) {
		return errors.New("tillerusher: the number of classes and tenants cannot be changed")
	}
	fresh, err := New(s, in.do)
	if err != nil {
		return err
	}
	in.set, in.longestAim, in.quotas, in.lambda = s, fresh.longestAim, fresh.quotas, fresh.lambda
	return nil
}

// Settings returns what the Instance was told at its start.
func (in *Instance) Settings() Settings { return in.set }

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

func (c *coder) estimate(e *estimate) {
	c.float(&e.n)
	c.times(&e.last)
}

func (c *coder) key(k *key) {
	c.times(&k.until)
	c.bools(&k.gone)
}

// request carries one request without its pointers.
func (c *coder) request(r *request) {
	whole(c, &r.id)
	whole(c, &r.class)
	whole(c, &r.state)
	whole(c, &r.rank)
	whole(c, &r.calls)
	c.times(&r.due, &r.useful, &r.arrived, &r.callAt, &r.began)
	c.bools(&r.retry, &r.subject, &r.ran)
	c.floats(&r.excess, &r.sizeKB, &r.coreTime, &r.partStart)
}

// instance carries everything.
func (c *coder) instance(in *Instance) {
	c.settings(&in.set)
	c.times(&in.start, &in.now, &in.longestAim, &in.idleTimeout, &in.notice, &in.stopAt, &in.nextPoll, &in.nextDue, &in.wakeAt)
	c.bools(&in.begun, &in.stalled, &in.draining, &in.healthy)
	whole(c, &in.keyCount)
	whole(c, &in.onCores)
	whole(c, &in.atCall)
	whole(c, &in.inHand)
	c.floats(&in.heldKB, &in.runKB, &in.lambda, &in.quotas, &in.liveCallers, &in.withinShare, &in.retries, &in.readDelay, &in.coreClock,
		&in.progress, &in.busy, &in.runnable, &in.concurrencyLimit, &in.callTime, &in.callDebt, &in.weight, &in.advertised)
	if c.version > 1 {
		c.float(&in.longest)
	}
	if c.version > 2 {
		c.times(&in.calledAt)
	}
	list(c, &in.senders, c.estimate)
	c.estimate(&in.completions)
	c.estimate(&in.arrivals)
	list(c, &in.classes, func(k *classStats) {
		c.floats(&k.run, &k.wall)
		whole(c, &k.runs)
		whole(c, &k.held[0])
		whole(c, &k.held[1])
		c.times(&k.patience)
		if c.version > 2 {
			whole(c, &k.wasted)
			c.times(&k.wastedAt, &k.learnedAt)
			c.estimate(&k.started)
			c.estimate(&k.rejected)
			c.bools(&k.starved)
			for why := range k.rejections {
				whole(c, &k.rejections[why])
			}
		}
	})
	unrun := make([]int, 0, len(in.unrun))
	for id := range in.unrun {
		unrun = append(unrun, int(id))
	}
	slices.Sort(unrun) // equal states give equal bytes
	list(c, &unrun, func(id *int) { whole(c, id) })
	for _, id := range unrun {
		in.unrun[RequestID(id)] = true
	}
	c.requests(in)
}

// requests carries the requests, the keys, and who points to whom by the numbers of their places.
func (c *coder) requests(in *Instance) {
	list(c, &in.keys, func(of *[]*key) {
		list(c, of, func(k **key) {
			if c.reading {
				*k = &key{}
			}
			c.key(*k)
		})
	})
	list(c, &in.all, func(r **request) {
		if c.reading {
			*r = &request{}
		}
		c.request(*r)
	})
	keys := slices.Concat(in.keys...)
	keyAt := make(map[*key]int, len(keys))
	for i, k := range keys {
		keyAt[k] = i
	}
	at := make(map[*request]int, len(in.all))
	for i, r := range in.all {
		at[r] = i
	}
	for _, r := range in.all {
		// A request may keep a key that ran out of the table, or point to one that is over and swept.
		if kind := pointer(c, &r.keyed, keys, keyAt); kind == detached {
			if c.reading {
				r.keyed = &key{}
			}
			c.key(r.keyed)
		}
		if kind := pointer(c, &r.original, in.all, at); kind == detached && c.reading {
			r.original = &request{state: over}
		}
	}
	list(c, &in.queue, func(r **request) { pointer(c, r, in.all, at) })
	if slices.Contains(in.queue, nil) {
		c.fail("a held request is missing")
	}
	if !c.reading || c.err != nil {
		return
	}
	if len(in.classes) != len(in.set.Classes) || len(in.keys) != len(in.set.Classes) {
		c.fail("its lists do not fit its classes")
	}
	for _, r := range in.all {
		if r.class < 0 || r.class >= len(in.set.Classes) || r.rank < 0 || r.rank > 1 || r.state > over {
			c.fail("a request is out of range")
			return
		}
		if r.state != over {
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
