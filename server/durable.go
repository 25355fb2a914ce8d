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

// DurableStore keeps records over restarts; internal/store is one. Write never waits, and tells from any goroutine what became
// of the changes.
type DurableStore interface {
	Write(changes []idempotency.Change, done func(error)) error
	ForEach(prefix string, visit func(name, value []byte) error) error
	Get(name string) ([]byte, error) // nil where there is none
	Secret() []byte
	Machine() string
	// Compact gives back the room of what was removed, if there is much, and returns how many bytes it rewrote. It may take
	// long, and is called from a goroutine of its own.
	Compact() (int64, error)
	Stats() idempotency.StoreStats
	Close() error
}

// durability is what a server needs of a journal. It is an interface so that the program that keeps nothing does not link one.
type durability interface {
	// hashBody sums a body, and recall tells a new module what an earlier process learned.
	hashBody(body []byte) uint64
	restoreRunTimes(module *admission.Instance)
	// rejects tells whether a try can't be protected now; run has one run once its intent is down.
	rejects(t *attempt) bool
	runAfterIntent(t *attempt)
	// closeAfterSend has the result of a run kept, and free the key of one that nothing ran for be free again.
	storeResult(t *attempt, a gateway.Response)
	releaseKey(t *attempt)
	// runMaintenance does the background work that is due.
	runMaintenance()
	readings() []reading
	close()
}

// maxExpiredPerRun is how many records that ran out are removed at one look.
const maxExpiredPerRun = 256

// The background work on state, and what it may take of each second.
const (
	taskExpire       = "expire"
	taskSave         = "save"
	taskCompact      = "compact"
	maintenanceTime  = 20 * time.Millisecond
	maintenanceBytes = 2 << 20
)

// durable carries out what internal/idempotency decides: the intent of a keyed run is down before it is asked for, and its
// result after it.
type durableResults struct {
	*Server
	store       DurableStore
	journal     *idempotency.Table
	machine     string                     // on which this runs
	runTimes    []idempotency.ClassRunTime // what an earlier process learned, as far as it counts
	maintenance *maintenance.Scheduler
	startedAt   time.Time
	// unprotected counts the keyed requests that were turned away because they could not be protected.
	unprotected, recovered, unreadable uint64
}

// EnableDurableResults has keyed results outlast the process, and takes in what an earlier one left. It has to be called before Run,
// which closes the keeper in the end.
func (s *Server) EnableDurableResults(k DurableStore, limits idempotency.Limits) error {
	j := &durableResults{Server: s, store: k, journal: idempotency.NewTable(limits), machine: k.Machine(), startedAt: s.loop.Now()}
	var err error
	j.maintenance, err = maintenance.New(maintenance.Budget{TimePerSecond: maintenanceTime, BytesPerSecond: maintenanceBytes}, 0,
		maintenance.Task{Name: taskExpire, Priority: 2, MinInterval: time.Second, MaxInterval: 10 * time.Second},
		maintenance.Task{Name: taskSave, Priority: 1, MinInterval: 10 * time.Second, MaxInterval: 2 * time.Minute},
		maintenance.Task{Name: taskCompact, Priority: 0, MinInterval: 5 * time.Second, MaxInterval: time.Minute})
	if err != nil {
		return err
	}
	if err := j.readRunTimes(); err != nil {
		return err
	}
	err = k.ForEach(idempotency.RecordPrefix, func(name, value []byte) error {
		if err := j.journal.Load(string(name), value); err != nil {
			j.unreadable++
			s.log.Error("state record not read", zap.Error(err)) // what is whole counts; this one's repeats may run
		}
		return nil
	})
	if err != nil {
		return err
	}
	s.durable = j
	now := s.loop.Now().Round(0)
	for _, e := range j.journal.Entries() {
		if class, known := s.classIndex[e.Key.Class]; known && !now.After(e.ExpiresAt) {
			j.restoreAttempt(class, e)
		}
	}
	keys, bytes := j.journal.Size()
	s.log.Info("state read", zap.Int("keys", keys), zap.Int64("bytes", bytes), zap.Uint64("recovered", j.recovered), zap.Uint64("unread", j.unreadable))
	return nil
}

// restoreAttempt makes a request that an earlier process may have run known again, as a try that is over.
func (j *durableResults) restoreAttempt(class int, e idempotency.Entry) {
	j.recovered++
	j.lastID++
	t := &attempt{id: j.lastID, class: class, hasKey: true, atMostOnce: true, key: idempotencyKey{class, e.Key.Key}, receivedAt: e.ReceivedAt, bodyHash: e.BodyHash, isAnswered: true,
		state: runFailed}
	j.keys.restoreRun(t, e.ReceivedAt.Add(j.window(class)))
	if e.State == idempotency.Completed {
		t.state = runFinished
		j.keys.storeResult(t, answerOf(e.Response))
	}
}

// answerOf and recordOf turn answers into each other.
func answerOf(a idempotency.Response) gateway.Response {
	out := gateway.Response{Status: a.Status, Body: a.Body}
	for _, f := range a.Header {
		out.Headers = append(out.Headers, gateway.Field{Name: f.Name, Value: f.Value})
	}
	return out
}

func recordOf(a gateway.Response) idempotency.Response {
	out := idempotency.Response{Status: a.Status, Body: a.Body}
	for _, f := range a.Headers {
		out.Header = append(out.Header, idempotency.HeaderField{Name: f.Name, Value: f.Value})
	}
	return out
}

// hashBody sums a body by the folder's secret, so that sums are the same after a restart and no sender can foresee one.
func (j *durableResults) hashBody(body []byte) uint64 {
	h := sha256.New()
	h.Write(j.store.Secret())
	h.Write(body)
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// hashKey is a try's key as records have it.
func (j *durableResults) key(t *attempt) idempotency.Key {
	return idempotency.Key{Class: j.told.ClassNames[t.class], Key: t.key.key}
}

// rejects tells whether a keyed request that repeats none can't be protected now.
func (j *durableResults) rejects(t *attempt) bool {
	if !t.hasKey || !t.atMostOnce || t.retryOf != nil {
		return false
	}
	if v := j.journal.Admit(j.loop.Now().Round(0)); v != idempotency.Admitted {
		if j.unprotected++; j.unprotected&(j.unprotected-1) == 0 { // the first, the second, the fourth ...
			j.log.Warn("keyed request turned away", zap.Stringer("why", v), zap.Uint64("so_far", j.unprotected))
		}
		return true
	}
	return false
}

// window is for how long after a run's Received-At no try of its request must run again.
func (j *durableResults) window(class int) time.Duration {
	return j.told.Admission.Classes[class].KeyWindow + keyWindowSlack
}

// runAfterIntent has a try run once its intent is down.
func (j *durableResults) runAfterIntent(t *attempt) {
	t.isIntentPending = true
	// A try is run until its deadline, so one that was received within the window may come so much after it.
	until := t.receivedAt.Add(j.window(t.class) + j.maxDeadline)
	changes := j.journal.Begin(idempotency.Entry{Key: j.key(t), ReceivedAt: t.receivedAt, ExpiresAt: until, BodyHash: t.bodyHash})
	err := j.store.Write(changes, func(err error) { j.loop.Post(func() { j.intentWritten(t, err) }) })
	if err != nil {
		j.deferEvent(func() { j.intentWritten(t, err) })
	}
}

// intentWritten goes on with a try whose intent is down, or could not be written.
func (j *durableResults) intentWritten(t *attempt, err error) {
	j.diskResult(err)
	t.isIntentPending = false
	switch {
	case err != nil:
		j.journal.RevertIntent(j.key(t))
		if t.state == runInFlight {
			j.unprotected++
			j.answer(t, rejection(j.told.Admission.MaxRetryAfter, false)) // nothing ran, and the caller may hear so
			j.finishRun(t.requestID, interpreter.OutcomeRejected, gateway.Response{})
		}
	case t.state != runInFlight || t.isStopRequested:
		j.write(j.journal.Abort(j.key(t)))
		if t.state == runInFlight {
			j.keys.unclaim(t)
			j.failRun(t, admission.Cancelled)
		}
	default:
		j.backend.Submit(t)
	}
}

// closeAfterSend has the result of a try kept.
func (j *durableResults) storeResult(t *attempt, a gateway.Response) {
	j.write(j.journal.Complete(j.key(t), recordOf(a)))
}

// releaseKey has the key of a try be free again, which nothing ran for.
func (j *durableResults) releaseKey(t *attempt) { j.write(j.journal.Abort(j.key(t))) }

// write hands over changes that nothing waits for.
func (j *durableResults) write(changes []idempotency.Change) {
	if len(changes) == 0 {
		return
	}
	err := j.store.Write(changes, func(err error) {
		if err != nil {
			j.loop.Post(func() { j.diskResult(err) })
		}
	})
	if err != nil {
		j.diskResult(err)
	}
}

// diskResult takes in how the disk does.
func (j *durableResults) diskResult(err error) {
	if !j.journal.ObserveWrite(err, j.loop.Now().Round(0)) {
		return
	}
	if err != nil {
		j.log.Error("state not written", zap.Error(err), zap.String("mode", "keyed requests are turned away, all others served"))
	} else {
		j.log.Info("state written again")
	}
	j.annotateCapture("state: %v", j.journal.DiskState())
}

// readRunTimes reads what an earlier process learned. What can't be read is none.
func (j *durableResults) readRunTimes() error {
	text, err := j.store.Get(idempotency.RunTimesRecordName)
	if err != nil || text == nil {
		return err
	}
	l, err := idempotency.DecodeRunTimes(text)
	if err != nil {
		j.unreadable++
		j.log.Error("state record not read", zap.Error(err))
		return nil
	}
	j.runTimes = l.WeightByAge(j.loop.Now().Round(0), j.machine)
	j.log.Info("learned before", zap.Duration("age", j.loop.Now().Sub(l.SavedAt)), zap.Int("classes", len(j.runTimes)))
	return nil
}

// restoreRun tells a new module what an earlier process learned.
func (j *durableResults) restoreRunTimes(module *admission.Instance) {
	l := admission.RunTimeEstimates{Classes: make([]admission.ClassRunTime, len(j.told.ClassNames))}
	for _, c := range j.runTimes {
		if i, known := j.classIndex[c.Name]; known {
			l.Classes[i] = admission.ClassRunTime{CoreTime: c.CoreTime, WallTime: c.WallTime, Samples: c.Samples}
		}
	}
	module.ImportRunTimes(l)
}

// saveRunTimes has what the module learned kept.
func (j *durableResults) saveRunTimes() (bytes int64) {
	if j.decisions == nil {
		return 0
	}
	l := idempotency.RunTimes{SavedAt: j.loop.Now().Round(0), Machine: j.machine}
	for i, c := range j.decisions.ExportRunTimes().Classes {
		l.Classes = append(l.Classes, idempotency.ClassRunTime{Name: j.told.ClassNames[i], CoreTime: c.CoreTime, WallTime: c.WallTime, Samples: c.Samples})
	}
	text := l.Encode()
	j.write([]idempotency.Change{{Name: idempotency.RunTimesRecordName, Value: text}})
	return int64(len(text))
}

// runMaintenance does the background work that is due.
func (j *durableResults) runMaintenance() {
	now := j.loop.Now()
	pressed := j.decisions != nil && j.decisions.Inspect().Overloaded
	for name := j.maintenance.Next(now.Sub(j.startedAt), pressed); name != ""; name = j.maintenance.Next(now.Sub(j.startedAt), pressed) {
		begun, cost := time.Now(), maintenance.Cost{}
		switch name {
		case taskCompact:
			j.compact()
			continue // its end is heard of later
		case taskExpire:
			changes := j.journal.Expire(now.Round(0), maxExpiredPerRun)
			for _, c := range changes {
				cost.Bytes += int64(len(c.Name))
			}
			j.write(changes)
		case taskSave:
			cost.Bytes = j.saveRunTimes()
		}
		cost.Duration = time.Since(begun)
		j.maintenance.Finish(name, now.Sub(j.startedAt), cost)
	}
}

// compact gives back room on the disk, off the loop.
func (j *durableResults) compact() {
	go func() {
		begun := time.Now()
		bytes, err := j.store.Compact()
		took := time.Since(begun)
		j.loop.Post(func() {
			j.maintenance.Finish(taskCompact, j.loop.Now().Sub(j.startedAt), maintenance.Cost{Duration: took, Bytes: bytes})
			if err != nil { // writes find out by themselves how the disk does
				j.log.Warn("state not compacted", zap.Error(err))
			}
		})
	}()
}

// readings are the journal's counters.
func (j *durableResults) readings() []reading {
	c, k := &j.journal.Counters, j.store.Stats()
	keys, bytes := j.journal.Size()
	return []reading{{"state_keys", uint64(keys)}, {"state_bytes", uint64(bytes)}, {"state_mode", uint64(j.journal.DiskState())}, {"intents", c.Intents},
		{"results_kept", c.Completed}, {"keys_freed", c.Aborted}, {"keys_expired", c.Expired}, {"answers_given_up", c.Evicted},
		{"turned_away_no_room", c.RejectedFull}, {"turned_away_no_disk", c.RejectedDisk}, {"write_failures", c.WriteFailures}, {"disk_recoveries", c.Recoveries},
		{"unprotected", j.unprotected}, {"recovered", j.recovered}, {"records_unread", j.unreadable}, {"syncs", k.Syncs}, {"changes", k.Changes},
		{"reopened", k.Reopens}}
}

// close ends the keeping, with all that was handed over.
func (j *durableResults) close() {
	j.saveRunTimes()
	j.logReadings("state", nil, j.readings())
	if err := j.store.Close(); err != nil {
		j.log.Error("state not closed", zap.Error(fmt.Errorf("state: %w", err)))
	}
}
