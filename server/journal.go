package server

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"go.uber.org/zap"

	"tillerusher/admission"
	"tillerusher/internal/gateway"
	"tillerusher/internal/idempotency"
	"tillerusher/internal/interpreter"
	"tillerusher/internal/maintenance"
)

// Keeper keeps records over restarts; internal/store is one. Write never waits, and tells from any goroutine what became
// of the changes.
type Keeper interface {
	Write(changes []idempotency.Change, done func(error)) error
	Each(prefix string, visit func(name, value []byte) error) error
	Get(name string) ([]byte, error) // nil where there is none
	Secret() []byte
	Machine() string
	// Compact gives back the room of what was removed, if there is much, and returns how many bytes it rewrote. It may take
	// long, and is called from a goroutine of its own.
	Compact() (int64, error)
	Counts() idempotency.StoreCounts
	Close() error
}

// keeping is what a server needs of a journal. It is an interface so that the program that keeps nothing does not link one.
type keeping interface {
	// sumOf sums a body, and recall tells a new module what an earlier process learned.
	sumOf(body []byte) uint64
	recall(module *admission.Instance)
	// turnsAway tells whether a try can't be protected now; run has one run once its intent is down.
	turnsAway(t *try) bool
	run(t *try)
	// finish has the result of a run kept, and free the key of one that nothing ran for be free again.
	finish(t *try, a gateway.Answer)
	free(t *try)
	// work does the background work that is due.
	work()
	readings() []reading
	close()
}

// expireMost is how many records that ran out are removed at one look.
const expireMost = 256

// The background work on state, and what it may take of each second.
const (
	choreExpire  = "expire"
	choreSave    = "save"
	choreCompact = "compact"
	choreTime    = 20 * time.Millisecond
	choreBytes   = 2 << 20
)

// journal carries out what internal/idempotency decides: the intent of a keyed run is down before it is asked for, and its
// result after it.
type journal struct {
	*Server
	keep    Keeper
	rules   *idempotency.Journal
	machine string                     // on which this runs
	learned []idempotency.LearnedClass // what an earlier process learned, as far as it counts
	chores  *maintenance.Scheduler
	begun   time.Time
	// unprotected counts the keyed requests that were turned away because they could not be protected.
	unprotected, recovered, unread uint64
}

// Persist has keyed results outlast the process, and takes in what an earlier one left. It has to be called before Run,
// which closes the keeper in the end.
func (s *Server) Persist(k Keeper, limits idempotency.Limits) error {
	j := &journal{Server: s, keep: k, rules: idempotency.New(limits), machine: k.Machine(), begun: s.loop.Now()}
	var err error
	j.chores, err = maintenance.New(maintenance.Budget{Time: choreTime, Bytes: choreBytes}, 0,
		maintenance.Chore{Name: choreExpire, Priority: 2, Every: time.Second, Deadline: 10 * time.Second},
		maintenance.Chore{Name: choreSave, Priority: 1, Every: 10 * time.Second, Deadline: 2 * time.Minute},
		maintenance.Chore{Name: choreCompact, Priority: 0, Every: 5 * time.Second, Deadline: time.Minute})
	if err != nil {
		return err
	}
	if err := j.readLearned(); err != nil {
		return err
	}
	err = k.Each(idempotency.Prefix, func(name, value []byte) error {
		if err := j.rules.Load(string(name), value); err != nil {
			j.unread++
			s.log.Error("state record not read", zap.Error(err)) // what is whole counts; this one's repeats may run
		}
		return nil
	})
	if err != nil {
		return err
	}
	s.journal = j
	now := s.loop.Now().Round(0)
	for _, e := range j.rules.Entries() {
		if class, known := s.classes[e.Key.Class]; known && !now.After(e.Until) {
			j.recover(class, e)
		}
	}
	keys, bytes := j.rules.Size()
	s.log.Info("state read", zap.Int("keys", keys), zap.Int64("bytes", bytes), zap.Uint64("recovered", j.recovered), zap.Uint64("unread", j.unread))
	return nil
}

// recover makes a request that an earlier process may have run known again, as a try that is over.
func (j *journal) recover(class int, e idempotency.Entry) {
	j.recovered++
	j.lastID++
	t := &try{id: j.lastID, class: class, keyed: true, once: true, key: keyID{class, e.Key.Key}, stamp: e.Stamp, sum: e.Sum, answered: true,
		state: broken}
	j.keys.recall(t, e.Stamp.Add(j.window(class)))
	if e.State == idempotency.Done {
		t.state = done
		j.keys.store(t, answerOf(e.Answer))
	}
}

// answerOf and recordOf turn answers into each other.
func answerOf(a idempotency.Answer) gateway.Answer {
	out := gateway.Answer{Status: a.Status, Body: a.Body}
	for _, f := range a.Fields {
		out.Fields = append(out.Fields, gateway.Field{Name: f.Name, Value: f.Value})
	}
	return out
}

func recordOf(a gateway.Answer) idempotency.Answer {
	out := idempotency.Answer{Status: a.Status, Body: a.Body}
	for _, f := range a.Fields {
		out.Fields = append(out.Fields, idempotency.Field{Name: f.Name, Value: f.Value})
	}
	return out
}

// sumOf sums a body by the folder's secret, so that sums are the same after a restart and no sender can foresee one.
func (j *journal) sumOf(body []byte) uint64 {
	h := sha256.New()
	h.Write(j.keep.Secret())
	h.Write(body)
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// key is a try's key as records have it.
func (j *journal) key(t *try) idempotency.Key {
	return idempotency.Key{Class: j.told.Classes[t.class], Key: t.key.key}
}

// turnsAway tells whether a keyed request that repeats none can't be protected now.
func (j *journal) turnsAway(t *try) bool {
	if !t.keyed || !t.once || t.repeats != nil {
		return false
	}
	if v := j.rules.Admit(j.loop.Now().Round(0)); v != idempotency.Protected {
		if j.unprotected++; j.unprotected&(j.unprotected-1) == 0 { // the first, the second, the fourth ...
			j.log.Warn("keyed request turned away", zap.Stringer("why", v), zap.Uint64("so_far", j.unprotected))
		}
		return true
	}
	return false
}

// window is for how long after a run's Received-At no try of its request must run again.
func (j *journal) window(class int) time.Duration {
	return j.told.Module.Classes[class].Window + windowSlack
}

// run has a try run once its intent is down.
func (j *journal) run(t *try) {
	t.awaits = true
	// A try is run until its deadline, so one that was received within the window may come so much after it.
	until := t.stamp.Add(j.window(t.class) + j.patience)
	changes := j.rules.Intend(idempotency.Entry{Key: j.key(t), Stamp: t.stamp, Until: until, Sum: t.sum})
	err := j.keep.Write(changes, func(err error) { j.loop.Post(func() { j.intended(t, err) }) })
	if err != nil {
		j.after(func() { j.intended(t, err) })
	}
}

// intended goes on with a try whose intent is down, or could not be written.
func (j *journal) intended(t *try, err error) {
	j.wrote(err)
	t.awaits = false
	switch {
	case err != nil:
		j.rules.Undo(j.key(t))
		if t.state == running {
			j.unprotected++
			j.answer(t, refusal(j.told.Module.RetryAfter, false)) // nothing ran, and the caller may hear so
			j.ran(t.wire, interpreter.EndRejected, gateway.Answer{})
		}
	case t.state != running || t.halted:
		j.write(j.rules.Drop(j.key(t)))
		if t.state == running {
			j.keys.disclaim(t)
			j.over(t, admission.Cancelled)
		}
	default:
		j.link.Apply(t)
	}
}

// finish has the result of a try kept.
func (j *journal) finish(t *try, a gateway.Answer) { j.write(j.rules.Finish(j.key(t), recordOf(a))) }

// free has the key of a try be free again, which nothing ran for.
func (j *journal) free(t *try) { j.write(j.rules.Drop(j.key(t))) }

// write hands over changes that nothing waits for.
func (j *journal) write(changes []idempotency.Change) {
	if len(changes) == 0 {
		return
	}
	err := j.keep.Write(changes, func(err error) {
		if err != nil {
			j.loop.Post(func() { j.wrote(err) })
		}
	})
	if err != nil {
		j.wrote(err)
	}
}

// wrote takes in how the disk does.
func (j *journal) wrote(err error) {
	if !j.rules.Wrote(err, j.loop.Now().Round(0)) {
		return
	}
	if err != nil {
		j.log.Error("state not written", zap.Error(err), zap.String("mode", "keyed requests are turned away, all others served"))
	} else {
		j.log.Info("state written again")
	}
	j.remark("state: %v", j.rules.Mode())
}

// readLearned reads what an earlier process learned. What can't be read is none.
func (j *journal) readLearned() error {
	text, err := j.keep.Get(idempotency.LearnedName)
	if err != nil || text == nil {
		return err
	}
	l, err := idempotency.DecodeLearned(text)
	if err != nil {
		j.unread++
		j.log.Error("state record not read", zap.Error(err))
		return nil
	}
	j.learned = l.Weigh(j.loop.Now().Round(0), j.machine)
	j.log.Info("learned before", zap.Duration("age", j.loop.Now().Sub(l.Saved)), zap.Int("classes", len(j.learned)))
	return nil
}

// recall tells a new module what an earlier process learned.
func (j *journal) recall(module *admission.Instance) {
	l := admission.Learned{Classes: make([]admission.LearnedClass, len(j.told.Classes))}
	for _, c := range j.learned {
		if i, known := j.classes[c.Name]; known {
			l.Classes[i] = admission.LearnedClass{Run: c.Run, Wall: c.Wall, Runs: c.Runs}
		}
	}
	module.Recall(l)
}

// save has what the module learned kept.
func (j *journal) save() (bytes int64) {
	if j.decisions == nil {
		return 0
	}
	l := idempotency.Learned{Saved: j.loop.Now().Round(0), Machine: j.machine}
	for i, c := range j.decisions.Learned().Classes {
		l.Classes = append(l.Classes, idempotency.LearnedClass{Name: j.told.Classes[i], Run: c.Run, Wall: c.Wall, Runs: c.Runs})
	}
	text := l.Encode()
	j.write([]idempotency.Change{{Name: idempotency.LearnedName, Value: text}})
	return int64(len(text))
}

// work does the background work that is due.
func (j *journal) work() {
	now := j.loop.Now()
	pressed := j.decisions != nil && j.decisions.Inspect().Pressed
	for name := j.chores.Next(now.Sub(j.begun), pressed); name != ""; name = j.chores.Next(now.Sub(j.begun), pressed) {
		begun, cost := time.Now(), maintenance.Cost{}
		switch name {
		case choreCompact:
			j.compact()
			continue // its end is heard of later
		case choreExpire:
			changes := j.rules.Expire(now.Round(0), expireMost)
			for _, c := range changes {
				cost.Bytes += int64(len(c.Name))
			}
			j.write(changes)
		case choreSave:
			cost.Bytes = j.save()
		}
		cost.Time = time.Since(begun)
		j.chores.Done(name, now.Sub(j.begun), cost)
	}
}

// compact gives back room on the disk, off the loop.
func (j *journal) compact() {
	go func() {
		begun := time.Now()
		bytes, err := j.keep.Compact()
		took := time.Since(begun)
		j.loop.Post(func() {
			j.chores.Done(choreCompact, j.loop.Now().Sub(j.begun), maintenance.Cost{Time: took, Bytes: bytes})
			if err != nil { // writes find out by themselves how the disk does
				j.log.Warn("state not compacted", zap.Error(err))
			}
		})
	}()
}

// readings are the journal's counters.
func (j *journal) readings() []reading {
	c, k := &j.rules.Count, j.keep.Counts()
	keys, bytes := j.rules.Size()
	return []reading{{"state_keys", uint64(keys)}, {"state_bytes", uint64(bytes)}, {"state_mode", uint64(j.rules.Mode())}, {"intents", c.Intents},
		{"results_kept", c.Results}, {"keys_freed", c.Dropped}, {"keys_expired", c.Expired}, {"answers_given_up", c.GivenUp},
		{"turned_away_no_room", c.NoRoom}, {"turned_away_no_disk", c.NoDisk}, {"write_failures", c.Failures}, {"disk_recoveries", c.Recoveries},
		{"unprotected", j.unprotected}, {"recovered", j.recovered}, {"records_unread", j.unread}, {"syncs", k.Syncs}, {"changes", k.Changes},
		{"reopened", k.Reopened}}
}

// close ends the keeping, with all that was handed over.
func (j *journal) close() {
	j.save()
	j.logReadings("state", nil, j.readings())
	if err := j.keep.Close(); err != nil {
		j.log.Error("state not closed", zap.Error(fmt.Errorf("state: %w", err)))
	}
}
