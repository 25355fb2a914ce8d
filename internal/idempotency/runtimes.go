package idempotency

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"
)

// RunTimes is what a server learned of its classes, as it is kept.
type RunTimes struct {
	SavedAt time.Time
	Machine string // on which it was learned
	Classes []ClassRunTime
}

// ClassRunTime is what was learned of one class.
type ClassRunTime struct {
	Name               string
	CoreTime, WallTime time.Duration
	Samples            int
}

// RunTimesRecordName is the name of the record.
const RunTimesRecordName = "l/classes"

const runTimesVersion = 1

// Encode is the record: its version, the time of saving in Unix nanoseconds (8 bytes, big endian), the machine and the
// number of classes, then for each its name, both times in nanoseconds and the runs, texts and numbers as varints with
// lengths before texts, and a CRC-32 (Castagnoli) of all.
func (l *RunTimes) Encode() []byte {
	b := binary.BigEndian.AppendUint64([]byte{runTimesVersion}, uint64(l.SavedAt.UnixNano()))
	text := func(s string) { b = append(binary.AppendUvarint(b, uint64(len(s))), s...) }
	number := func(n int64) { b = binary.AppendUvarint(b, uint64(max(n, 0))) }
	text(l.Machine)
	number(int64(len(l.Classes)))
	for _, c := range l.Classes {
		text(c.Name)
		number(int64(c.CoreTime / time.Microsecond))
		number(int64(c.WallTime / time.Microsecond))
		number(int64(c.Samples))
	}
	return seal(b)
}

// DecodeRunTimes reads the record.
func DecodeRunTimes(b []byte) (*RunTimes, error) {
	body, err := openSealed(b, 15, runTimesVersion, "what was learned")
	if err != nil {
		return nil, err
	}
	l := &RunTimes{SavedAt: time.Unix(0, int64(binary.BigEndian.Uint64(body[1:])))}
	r := reader{rest: body[9:]}
	l.Machine = string(r.bytes())
	for n := r.length(); n > 0 && !r.isMalformed; n-- {
		c := ClassRunTime{Name: string(r.bytes())}
		c.CoreTime, c.WallTime = time.Duration(r.microseconds())*time.Microsecond, time.Duration(r.microseconds())*time.Microsecond
		c.Samples = int(r.microseconds())
		l.Classes = append(l.Classes, c)
	}
	if r.isMalformed || len(r.rest) > 0 {
		return nil, fmt.Errorf("%w: what was learned: it is cut short or goes on behind its end", ErrBadRecord)
	}
	return l, nil
}

// microseconds reads a number that is no length.
func (r *reader) microseconds() uint64 { return r.upTo(maxMicroseconds) }

// maxMicroseconds are the most that a time.Duration holds.
const maxMicroseconds = math.MaxInt64 / 1000

const (
	// runTimesHalfLife is the age at which what was learned counts half: outlets' mixes of requests change by the hour.
	runTimesHalfLife = time.Hour
	// maxSamples is as how many runs what was learned counts when it is fresh: three measured ones weigh as much.
	maxSamples = 3
	// maxRunTimesAge is the age from which it is not used at all.
	maxRunTimesAge = 24 * time.Hour
	// maxClockStepBack is how far in the future it may have been saved: a clock was stepped back.
	maxClockStepBack = 2 * time.Hour
)

// WeightByAge is what of a record counts at a start: for each class how long its runs take, as so many runs. What was learned
// counts less the older it is. Of another machine nothing is taken: how long runs take is its cores' affair.
func (l *RunTimes) WeightByAge(now time.Time, machine string) []ClassRunTime {
	age := now.Sub(l.SavedAt)
	if age < -maxClockStepBack || age > maxRunTimesAge || machine != l.Machine {
		return nil
	}
	weight := math.Exp2(-max(age, 0).Hours() / runTimesHalfLife.Hours())
	var list []ClassRunTime
	for _, c := range l.Classes {
		if c.CoreTime <= 0 || c.Samples <= 0 {
			continue
		}
		c.Samples = int(math.Ceil(weight * float64(min(c.Samples, maxSamples))))
		list = append(list, c)
	}
	return list
}
