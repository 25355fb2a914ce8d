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
	"tillerusher/internal/maintenance"
)

// DurableStore keeps records across restarts. Package internal/store implements it.
type DurableStore interface {
	// Write queues changes without waiting for the disk. It calls done with the outcome, on any goroutine.
	Write(changes []idempotency.Change, done func(error)) error
	// ForEach calls visit for each record whose name begins with the prefix.
	ForEach(prefix string, visit func(name, value []byte) error) error
	// Get returns the value of a record, or nil if there is none.
	Get(name string) ([]byte, error)
	// Secret returns a secret of the store, which is the same across restarts.
	Secret() []byte
	// Machine returns an identifier of the machine on which this process runs.
	Machine() string
	// Compact frees the space of removed records if there is much of it, and returns how many bytes it rewrote. It may
	// take long and is called on a separate goroutine.
	Compact() (int64, error)
	// Stats returns the store's counters.
	Stats() idempotency.StoreStats
	Close() error
}

// durability is the interface through which a server uses durableResults, so that a program that keeps no state does not
// link them.
type durability interface {
	// hashBody is like Server.HashBody, but its hashes stay the same across restarts.
	hashBody(body []byte) uint64
	// restoreRunTimes imports the run times that an earlier process measured into a new module.
	restoreRunTimes(module *admission.Instance)
	// shouldReject reports whether an attempt has an idempotency key but can't be protected against a second run now.
	shouldReject(a *attempt) bool
	// runAfterIntent writes the intent of a run, and starts the run once the intent is on the disk.
	runAfterIntent(a *attempt)
	// storeResult stores the result of a run.
	storeResult(a *attempt, r gateway.Response)
	// releaseKey frees the key of an attempt that did not run.
	releaseKey(a *attempt)
	// runMaintenance runs the maintenance tasks that are due.
	runMaintenance()
	counters() []Counter
	close()
}

// durableResults keeps the results of requests with an idempotency key across restarts, by the rules of
// internal/idempotency. It keeps two orders: the intent of a run is on the disk before the backend is asked for the run,
// and the result of the run is queued in the store before the caller is answered.
type durableResults struct {
	server      *Server
	store       DurableStore
	table       *idempotency.Table
	classIndex  map[string]int
	machine     string                     // identifies the machine on which this process runs
	runTimes    []idempotency.ClassRunTime // measured by an earlier process on this machine, weighted by age
	maintenance *maintenance.Scheduler
	startedAt   time.Time
	// unprotected counts the requests that were rejected because they could not be protected. recovered counts the
	// requests that an earlier process may have run. unreadable counts the records that could not be read.
	unprotected, recovered, unreadable uint64
}

// EnableDurableResults has the server keep the results of requests with an idempotency key across restarts, and restores
// the results of an earlier process. It must be called before Run, which closes the store before it returns.
func (s *Server) EnableDurableResults(store DurableStore, limits idempotency.Limits) error {
	durable := &durableResults{
		server:     s,
		store:      store,
		table:      idempotency.NewTable(limits),
		classIndex: indexByName(s.site.ClassNames),
		machine:    store.Machine(),
		startedAt:  s.loop.Now(),
	}
	var err error
	if durable.maintenance, err = newMaintenance(); err != nil {
		return err
	}
	if err := durable.readRunTimes(); err != nil {
		return err
	}
	if err := durable.readRecords(); err != nil {
		return err
	}
	s.durable = durable
	durable.restoreAttempts()
	keys, bytes := durable.table.Size()
	s.log.Info("state read",
		zap.Int("keys", keys),
		zap.Int64("bytes", bytes),
		zap.Uint64("recovered", durable.recovered),
		zap.Uint64("unread", durable.unreadable))
	return nil
}

// readRecords reads the records of an earlier process. It skips a record that can't be read: only retries of that one
// request may run again, and all others are still protected.
func (d *durableResults) readRecords() error {
	return d.store.ForEach(idempotency.RecordPrefix, func(name, value []byte) error {
		if err := d.table.Load(string(name), value); err != nil {
			d.unreadable++
			d.server.log.Error("state record not read", zap.Error(err))
		}
		return nil
	})
}

// restoreAttempts restores the requests that an earlier process may have run.
func (d *durableResults) restoreAttempts() {
	now := d.server.loop.Now().Round(0)
	for _, e := range d.table.Entries() {
		if class, isKnown := d.classIndex[e.Key.Class]; isKnown && !now.After(e.ExpiresAt) {
			d.restoreAttempt(class, e)
		}
	}
}

// restoreAttempt restores one request as an attempt that is answered and whose run has ended.
func (d *durableResults) restoreAttempt(class int, entry idempotency.Entry) {
	d.recovered++
	request := Request{
		Class:      class,
		AtMostOnce: true,
		Key:        entry.Key.Key,
		HasKey:     true,
		BodyHash:   entry.BodyHash,
		ReceivedAt: entry.ReceivedAt,
	}
	restored := &attempt{Request: request, id: d.server.attempts.nextID(), isAnswered: true, state: runFailed}
	d.server.keys.restoreRun(restored, entry.ReceivedAt.Add(d.server.keyWindow(class)))
	if entry.State == idempotency.Completed {
		restored.state = runSucceeded
		d.server.keys.storeResult(restored, fromStoredResponse(entry.Response))
	}
}

// fromStoredResponse converts the stored form of a response.
func fromStoredResponse(stored idempotency.Response) gateway.Response {
	response := gateway.Response{Status: stored.Status, Body: stored.Body}
	for _, field := range stored.Header {
		response.Headers = append(response.Headers, gateway.Field{Name: field.Name, Value: field.Value})
	}
	return response
}

// toStoredResponse converts a response to its stored form.
func toStoredResponse(response gateway.Response) idempotency.Response {
	stored := idempotency.Response{Status: response.Status, Body: response.Body}
	for _, field := range response.Headers {
		stored.Header = append(stored.Header, idempotency.HeaderField{Name: field.Name, Value: field.Value})
	}
	return stored
}

// hashBody implements durability. The store's secret keeps hashes the same across restarts, and keeps senders from
// constructing two bodies with the same hash.
func (d *durableResults) hashBody(body []byte) uint64 {
	h := sha256.New()
	h.Write(d.store.Secret())
	h.Write(body)
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// key returns an attempt's key in the form that records use.
func (d *durableResults) key(a *attempt) idempotency.Key {
	return idempotency.Key{Class: d.server.site.ClassNames[a.Class], Key: a.Key}
}

// shouldReject implements durability. It accepts retries, whose key is in the table already.
func (d *durableResults) shouldReject(attempt *attempt) bool {
	if !attempt.HasKey || !attempt.AtMostOnce || attempt.retryOf != nil {
		return false
	}
	verdict := d.table.Admit(d.server.loop.Now().Round(0))
	if verdict == idempotency.Admitted {
		return false
	}
	d.unprotected++
	if isPowerOfTwo(d.unprotected) { // limits the log: many are rejected while the disk is full
		d.server.log.Warn("keyed request rejected", zap.Stringer("why", verdict), zap.Uint64("so_far", d.unprotected))
	}
	return true
}

// isPowerOfTwo reports whether a positive number is a power of two.
func isPowerOfTwo(n uint64) bool { return n&(n-1) == 0 }

// runAfterIntent implements durability.
func (d *durableResults) runAfterIntent(a *attempt) {
	a.isIntentPending = true
	// An attempt may run until its deadline, so one received at the end of the window may end that much later.
	expiresAt := a.ReceivedAt.Add(d.server.keyWindow(a.Class) + d.server.maxDeadline)
	intent := idempotency.Entry{Key: d.key(a), ReceivedAt: a.ReceivedAt, ExpiresAt: expiresAt, BodyHash: a.BodyHash}
	err := d.store.Write(d.table.Begin(intent), func(err error) {
		d.server.loop.Post(func() { d.intentWritten(a, err) })
	})
	if err != nil {
		d.server.deferEvent(func() { d.intentWritten(a, err) })
	}
}

// intentWritten continues an attempt once the write of its intent has succeeded or failed.
func (d *durableResults) intentWritten(attempt *attempt, err error) {
	d.observeWrite(err)
	attempt.isIntentPending = false
	switch {
	case err != nil:
		d.rejectUnprotected(attempt)
	case attempt.state != runInFlight || attempt.isStopRequested:
		d.write(d.table.Abort(d.key(attempt)))
		if attempt.state == runInFlight {
			d.server.keys.unclaim(attempt)
			d.server.failRun(attempt, admission.Cancelled)
		}
	default:
		attempt.Runner.Run(&attempt.Request)
	}
}

// rejectUnprotected rejects an attempt whose intent could not be written. Nothing ran, so the caller may retry.
func (d *durableResults) rejectUnprotected(a *attempt) {
	d.table.RevertIntent(d.key(a))
	if a.state != runInFlight {
		return
	}
	d.unprotected++
	d.server.answer(a, rejection(d.server.site.Admission.MaxRetryAfter, retryElsewhere))
	d.server.RunFinished(a.RequestID, RunRejected, gateway.Response{})
}

// storeResult implements durability.
func (d *durableResults) storeResult(a *attempt, r gateway.Response) {
	d.write(d.table.Complete(d.key(a), toStoredResponse(r)))
}

// releaseKey implements durability.
func (d *durableResults) releaseKey(a *attempt) { d.write(d.table.Abort(d.key(a))) }

// write writes changes without waiting for the disk. Only a failure is passed to observeWrite.
func (d *durableResults) write(changes []idempotency.Change) {
	if len(changes) == 0 {
		return
	}
	err := d.store.Write(changes, func(err error) {
		if err != nil {
			d.server.loop.Post(func() { d.observeWrite(err) })
		}
	})
	if err != nil {
		d.observeWrite(err)
	}
}

// observeWrite records the outcome of a write in the table, and logs when the disk starts to fail or recovers.
func (d *durableResults) observeWrite(err error) {
	if !d.table.ObserveWrite(err, d.server.loop.Now().Round(0)) {
		return
	}
	if err != nil {
		d.server.log.Error("state not written", zap.Error(err),
			zap.String("mode", "keyed requests are rejected, all others served"))
	} else {
		d.server.log.Info("state written again")
	}
	d.server.Annotate("state: %v", d.table.DiskState())
}

// counters implements durability.
func (d *durableResults) counters() []Counter {
	table, store := &d.table.Counters, d.store.Stats()
	keys, bytes := d.table.Size()
	return []Counter{
		{"state_keys", uint64(keys)},
		{"state_bytes", uint64(bytes)},
		{"disk_state", uint64(d.table.DiskState())},
		{"intents", table.Intents},
		{"results_kept", table.Completed},
		{"keys_released", table.Aborted},
		{"keys_expired", table.Expired},
		{"results_evicted", table.Evicted},
		{"rejected_table_full", table.RejectedFull},
		{"rejected_disk_failing", table.RejectedDisk},
		{"write_failures", table.WriteFailures},
		{"disk_recoveries", table.Recoveries},
		{"unprotected", d.unprotected},
		{"recovered", d.recovered},
		{"records_unreadable", d.unreadable},
		{"syncs", store.Syncs},
		{"changes", store.Changes},
		{"reopened", store.Reopens},
	}
}

// close implements durability. When it returns, all writes are on the disk.
func (d *durableResults) close() {
	d.saveRunTimes()
	d.server.logCounterLine("state", nil, d.counters())
	if err := d.store.Close(); err != nil {
		d.server.log.Error("state not closed", zap.Error(fmt.Errorf("state: %w", err)))
	}
}
