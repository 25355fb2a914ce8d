// The encoding of snapshots. Nothing here decides.

package admission

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"
)

// coder writes or reads the state. Both directions share one traversal, so that they cannot disagree on the
// fields.
type coder struct {
	bytes   []byte // what was written, or is still to be read
	version byte
	reading bool
	err     error // the first error of reading
}

// fail ends reading; all that follows reads as zero.
func (c *coder) fail(problem string) {
	if c.err == nil {
		c.err = fmt.Errorf("%w: %s", ErrSnapshot, problem)
	}
	c.bytes = nil
}

// whole carries a whole number of any kind as a varint.
func whole[T ~int | ~int64 | ~uint8 | ~uint32 | ~uint64](coder *coder, target *T) {
	if !coder.reading {
		coder.bytes = binary.AppendVarint(coder.bytes, int64(*target))
		return
	}
	value, size := binary.Varint(coder.bytes)
	if size <= 0 {
		coder.fail("it ends early")
		return
	}
	coder.bytes = coder.bytes[size:]
	if int64(T(value)) != value {
		coder.fail("a number is out of range")
		return
	}
	*target = T(value)
}

// float carries a number as its 8 bytes, least significant first.
func (c *coder) float(target *float64) {
	const size = 8
	if !c.reading {
		c.bytes = binary.LittleEndian.AppendUint64(c.bytes, math.Float64bits(*target))
		return
	}
	if len(c.bytes) < size {
		c.fail("it ends early")
		return
	}
	*target = math.Float64frombits(binary.LittleEndian.Uint64(c.bytes))
	c.bytes = c.bytes[size:]
}

func (c *coder) floats(targets ...*float64) {
	for _, p := range targets {
		c.float(p)
	}
}

func (c *coder) times(targets ...*time.Duration) {
	for _, p := range targets {
		whole(c, p)
	}
}

// bools carries each as a whole number, 1 for true; any other number reads as false.
func (c *coder) bools(targets ...*bool) {
	for _, p := range targets {
		value := uint8(0)
		if *p {
			value = 1
		}
		whole(c, &value)
		*p = value == 1
	}
}

// list carries a slice, element by element; an empty one comes back as nil.
func list[T any](coder *coder, target *[]T, element func(*T)) {
	n := len(*target)
	whole(coder, &n)
	if coder.reading {
		if n < 0 || n > len(coder.bytes) { // each element takes a byte at least
			coder.fail("a list is longer than what is left")
			return
		}
		*target = nil
		if n > 0 {
			*target = make([]T, n)
		}
	}
	for i := range *target {
		element(&(*target)[i])
	}
}

// Codes of pointers that do not point into a list.
const (
	pointerNil      = -1
	pointerDetached = -2 // to something outside the list, which follows
)

// indexOf returns the index of each pointer of a list.
func indexOf[T any](list []*T) map[*T]int {
	index := make(map[*T]int, len(list))
	for i, p := range list {
		index[p] = i
	}
	return index
}

// pointer carries a pointer into a list as its index, or as pointerNil or pointerDetached, and returns that.
func pointer[T any](coder *coder, target **T, list []*T, index map[*T]int) int {
	at, isInList := index[*target]
	switch {
	case *target == nil:
		at = pointerNil
	case !isInList:
		at = pointerDetached
	}
	whole(coder, &at)
	if coder.reading && at >= 0 {
		if at >= len(list) {
			coder.fail("it points beyond a list")
			return pointerNil
		}
		*target = list[at]
	}
	return at
}
