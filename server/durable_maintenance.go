package server

import (
	"time"

	"go.uber.org/zap"

	"tillerusher/admission"
	"tillerusher/internal/idempotency"
	"tillerusher/internal/maintenance"
)

// The maintenance tasks, and the time and bytes that all of them together may use per second.
const (
	taskExpire                = "expire"
	taskSaveRunTimes          = "save"
	taskCompact               = "compact"
	maintenanceTimePerSecond  = 20 * time.Millisecond
	maintenanceBytesPerSecond = 2 << 20
)

// maxExpiredPerRun is the maximum number of expired records that one run of taskExpire removes.
const maxExpiredPerRun = 256

// newMaintenance returns the scheduler of the maintenance tasks.
func newMaintenance() (*maintenance.Scheduler, error) {
	return maintenance.New(maintenance.Budget{TimePerSecond: maintenanceTimePerSecond, BytesPerSecond: maintenanceBytesPerSecond}, 0,
		maintenance.Task{Name: taskExpire, Priority: 2, MinInterval: time.Second, MaxInterval: 10 * time.Second},
		maintenance.Task{Name: taskSaveRunTimes, Priority: 1, MinInterval: 10 * time.Second, MaxInterval: 2 * time.Minute},
		maintenance.Task{Name: taskCompact, Priority: 0, MinInterval: 5 * time.Second, MaxInterval: time.Minute})
}

// runMaintenance implements durability.
func (d *durableResults) runMaintenance() {
	now := d.server.loop.Now()
	elapsed := now.Sub(d.startedAt)
	isOverloaded := d.server.module.instance != nil && d.server.module.instance.Inspect().Overloaded
	for {
		task := d.maintenance.Next(elapsed, isOverloaded)
		if task == "" {
			return
		}
		if task == taskCompact {
			d.compact()
			continue // compact calls Finish itself, when it is done
		}
		startedAt := time.Now()
		bytes := d.runTask(task, now)
		d.maintenance.Finish(task, elapsed, maintenance.Cost{Duration: time.Since(startedAt), Bytes: bytes})
	}
}

// runTask runs a task on the loop's goroutine, and returns how many bytes the task wrote.
func (d *durableResults) runTask(task string, now time.Time) (bytes int64) {
	switch task {
	case taskExpire:
		changes := d.table.Expire(now.Round(0), maxExpiredPerRun)
		for _, change := range changes {
			bytes += int64(len(change.Name))
		}
		d.write(changes)
	case taskSaveRunTimes:
		bytes = d.saveRunTimes()
	}
	return bytes
}

// compact frees space on the disk, on a separate goroutine.
func (d *durableResults) compact() {
	go func() {
		startedAt := time.Now()
		bytes, err := d.store.Compact()
		cost := maintenance.Cost{Duration: time.Since(startedAt), Bytes: bytes}
		d.server.loop.Post(func() {
			d.maintenance.Finish(taskCompact, d.server.loop.Now().Sub(d.startedAt), cost)
			if err != nil { // not passed to observeWrite: only writes show whether the disk works
				d.server.log.Warn("state not compacted", zap.Error(err))
			}
		})
	}()
}

// readRunTimes reads the run times that an earlier process measured. It ignores a record that can't be decoded.
func (d *durableResults) readRunTimes() error {
	encoded, err := d.store.Get(idempotency.RunTimesRecordName)
	if err != nil || encoded == nil {
		return err
	}
	saved, err := idempotency.DecodeRunTimes(encoded)
	if err != nil {
		d.unreadable++
		d.server.log.Error("state record not read", zap.Error(err))
		return nil
	}
	now := d.server.loop.Now()
	d.runTimes = saved.WeightByAge(now.Round(0), d.machine)
	d.server.log.Info("run times restored",
		zap.Duration("age_ms", now.Sub(saved.SavedAt)),
		zap.Int("classes", len(d.runTimes)))
	return nil
}

// restoreRunTimes implements durability.
func (d *durableResults) restoreRunTimes(module *admission.Instance) {
	estimates := admission.RunTimeEstimates{Classes: make([]admission.ClassRunTime, len(d.server.site.ClassNames))}
	for _, c := range d.runTimes {
		if class, isKnown := d.classIndex[c.Name]; isKnown {
			estimates.Classes[class] = admission.ClassRunTime{CoreTime: c.CoreTime, WallTime: c.WallTime, Samples: c.Samples}
		}
	}
	module.ImportRunTimes(estimates)
}

// saveRunTimes writes the run times that the module measured, and returns their encoded size.
func (d *durableResults) saveRunTimes() (bytes int64) {
	module := d.server.module.instance
	if module == nil {
		return 0
	}
	runTimes := idempotency.RunTimes{SavedAt: d.server.loop.Now().Round(0), Machine: d.machine}
	for class, c := range module.ExportRunTimes().Classes {
		runTimes.Classes = append(runTimes.Classes, idempotency.ClassRunTime{
			Name:     d.server.site.ClassNames[class],
			CoreTime: c.CoreTime,
			WallTime: c.WallTime,
			Samples:  c.Samples,
		})
	}
	encoded := runTimes.Encode()
	d.write([]idempotency.Change{{Name: idempotency.RunTimesRecordName, Value: encoded}})
	return int64(len(encoded))
}
