package idempotency

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"
)

// RunTimes is the record of the run times that a server learned of its classes. A new process starts from them instead of
// from nothing.
type RunTimes struct {
	SavedAt time.Time
	Machine string // on which they were measured
	Classes []ClassRunTime
}

// ClassRunTime is the run time that was learned of one class.
type ClassRunTime struct {
	Name               string
	CoreTime, WallTime time.Duration
	Samples            int
}

// RunTimesRecordName is the name of the record.
const RunTimesRecordName = "l/classes"

// The fixed part of the record: version and time of saving.
const (
	runTimesVersion = 1

	runTimesSavedAt   = 1
	runTimesMachineAt = runTimesSavedAt + timestampSize

	minRunTimesBytes = runTimesMachineAt + 2 + checksumSize // an empty machine and no classes
)

// runTimesRecord names the record in errors.
const runTimesRecord = "what was learned"

// maxMicroseconds is the most that a time.Duration holds.
const maxMicroseconds = math.MaxInt64 / 1000

const (
	// runTimesHalfLife is the age at which an estimate counts half: the sites' mixes of requests change by the hour.
	runTimesHalfLife = time.Hour
	// maxSamples is the weight of a fresh estimate: it counts as much as three measured runs.
	maxSamples = 3
	// maxRunTimesAge is the age from which estimates are not used at all.
	maxRunTimesAge = 24 * time.Hour
	// maxClockStepBack is how far in the future they may have been saved: the clock was stepped back since.
	maxClockStepBack = 2 * time.Hour
)

// Encode returns the record: its version, the time of saving in Unix nanoseconds (8 bytes, big endian), the machine and the
// number of classes, then for each its name, both times in microseconds and the samples, strings and numbers as varints with
// lengths before strings, and a CRC-32 (Castagnoli) of all of that.
func (r *RunTimes) Encode() []byte {
	record := binary.BigEndian.AppendUint64([]byte{runTimesVersion}, uint64(r.SavedAt.UnixNano()))
	record = appendString(record, r.Machine)
	record = appendCount(record, int64(len(r.Classes)))
	for _, c := range r.Classes {
		record = appendString(record, c.Name)
		record = appendCount(record, int64(c.CoreTime/time.Microsecond))
		record = appendCount(record, int64(c.WallTime/time.Microsecond))
		record = appendCount(record, int64(c.Samples))
	}
	return seal(record)
}

// appendCount adds a number as a varint; negative ones count as 0.
func appendCount(b []byte, n int64) []byte { return binary.AppendUvarint(b, uint64(max(n, 0))) }

// DecodeRunTimes reads a record that Encode made.
func DecodeRunTimes(record []byte) (*RunTimes, error) {
	body, err := openSealed(record, minRunTimesBytes, runTimesVersion, runTimesRecord)
	if err != nil {
		return nil, err
	}
	runTimes := &RunTimes{SavedAt: decodeTime(body[runTimesSavedAt:])}
	fields := reader{rest: body[runTimesMachineAt:]}
	runTimes.Machine = string(fields.bytes())
	for n := fields.length(); n > 0 && !fields.isMalformed; n-- {
		c := ClassRunTime{Name: string(fields.bytes())}
		c.CoreTime = fields.microseconds()
		c.WallTime = fields.microseconds()
		c.Samples = int(fields.upTo(maxMicroseconds))
		runTimes.Classes = append(runTimes.Classes, c)
	}
	if !fields.isAtEnd() {
		return nil, fmt.Errorf("%w: %s: it is cut short or goes on behind its end", ErrBadRecord, runTimesRecord)
	}
	return runTimes, nil
}

// microseconds reads a duration.
func (r *reader) microseconds() time.Duration {
	return time.Duration(r.upTo(maxMicroseconds)) * time.Microsecond
}

// WeightByAge returns the run times for a start on the machine, with fewer samples the older they are. It returns none that
// were measured on another machine, since run times depend on its cores.
func (r *RunTimes) WeightByAge(now time.Time, machine string) []ClassRunTime {
	age := now.Sub(r.SavedAt)
	if age < -maxClockStepBack || age > maxRunTimesAge || machine != r.Machine {
		return nil
	}
	weight := math.Exp2(-max(age, 0).Hours() / runTimesHalfLife.Hours())
	var weighted []ClassRunTime
	for _, c := range r.Classes {
		if c.CoreTime <= 0 || c.Samples <= 0 {
			continue
		}
		c.Samples = int(math.Ceil(weight * float64(min(c.Samples, maxSamples))))
		weighted = append(weighted, c)
	}
	return weighted
}
