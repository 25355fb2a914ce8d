package idempotency

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"
)

// RunTimes is the record of the run times that a server learned for its classes. A new process starts with them as its first
// estimates.
type RunTimes struct {
	SavedAt time.Time
	Machine string // the machine on which the run times were measured
	Classes []ClassRunTime
}

// ClassRunTime is the learned run time of one class.
type ClassRunTime struct {
	Name               string
	CoreTime, WallTime time.Duration
	Samples            int
}

// RunTimesRecordName is the name of the RunTimes record.
const RunTimesRecordName = "l/classes"

// The offsets in a RunTimes record. The fixed part has the version and SavedAt; the machine and the classes follow.
const (
	runTimesVersion = 1

	runTimesSavedAtOffset = 1
	runTimesMachineOffset = runTimesSavedAtOffset + timestampSize

	minRunTimesBytes = runTimesMachineOffset + 2 + checksumSize // an empty machine and no classes
)

// runTimesLabel names the record in errors.
const runTimesLabel = "run times"

// maxMicroseconds is the largest number of microseconds that a time.Duration can represent.
const maxMicroseconds = math.MaxInt64 / 1000

const (
	// runTimesHalfLife is the age at which the weight of an estimate is halved: the request mixes of sites change within hours.
	runTimesHalfLife = time.Hour
	// maxSamples is the maximum weight of a fresh estimate: it counts as much as three measured runs.
	maxSamples = 3
	// maxRunTimesAge is the maximum age of estimates; older ones are not used.
	maxRunTimesAge = 24 * time.Hour
	// maxClockStepBack is how far SavedAt may lie in the future, which happens if the clock was stepped back after the save.
	maxClockStepBack = 2 * time.Hour
)

// Encode returns the record:
//
//   - the version, one byte
//   - SavedAt in Unix nanoseconds, 8 bytes, big endian
//   - the machine and the number of classes
//   - for each class its name, CoreTime and WallTime in microseconds, and Samples
//   - a CRC-32 (Castagnoli) of all bytes before it
//
// Numbers after SavedAt are varints; each string follows its length as a varint.
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
	return appendChecksum(record)
}

// appendCount appends n as a varint, or 0 if n is negative.
func appendCount(b []byte, n int64) []byte { return binary.AppendUvarint(b, uint64(max(n, 0))) }

// DecodeRunTimes decodes a record made by RunTimes.Encode. The error wraps ErrBadRecord if the record is not valid.
func DecodeRunTimes(record []byte) (*RunTimes, error) {
	body, err := verifyRecord(record, minRunTimesBytes, runTimesVersion, runTimesLabel)
	if err != nil {
		return nil, err
	}
	runTimes := &RunTimes{SavedAt: decodeTime(body[runTimesSavedAtOffset:])}
	fields := reader{rest: body[runTimesMachineOffset:]}
	runTimes.Machine = string(fields.bytes())
	for n := fields.length(); n > 0 && !fields.isMalformed; n-- {
		c := ClassRunTime{Name: string(fields.bytes())}
		c.CoreTime = fields.microseconds()
		c.WallTime = fields.microseconds()
		c.Samples = int(fields.uvarint(maxMicroseconds))
		runTimes.Classes = append(runTimes.Classes, c)
	}
	if !fields.isAtEnd() {
		return nil, fmt.Errorf("%w: %s: truncated or with trailing bytes", ErrBadRecord, runTimesLabel)
	}
	return runTimes, nil
}

// microseconds reads a duration that is stored in microseconds.
func (r *reader) microseconds() time.Duration {
	return time.Duration(r.uvarint(maxMicroseconds)) * time.Microsecond
}

// WeightByAge returns the run times that a server starts with on the machine. The older they are, the smaller is their number
// of samples. It returns nil if they are older than maxRunTimesAge, or if SavedAt is more than maxClockStepBack after now. It
// also returns nil if they were measured on another machine, since run times depend on the machine's cores. It skips classes
// without a core time or samples.
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
