// The encoding of snapshots. This file makes no decisions.

package admission

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"
)

// coder encodes or decodes the state. Both directions share one traversal, so that they cannot differ in the fields.
type coder struct {
	bytes   []byte // encoded so far, or still to be decoded
	version byte
	reading bool
	err     error // the first error of decoding
}

// fail records the first error and discards the remaining bytes, so that all values decoded later are zero.
func (c *coder) fail(problem string) {
	if c.err == nil {
		c.err = fmt.Errorf("%w: %s", ErrSnapshot, problem)
	}
	c.bytes = nil
}

// varint encodes or decodes an integer of any type as a varint.
func varint[T ~int | ~int64 | ~uint8 | ~uint32 | ~uint64](coder *coder, target *T) {
	if !coder.reading {
		coder.bytes = binary.AppendVarint(coder.bytes, int64(*target))
		return
	}
	value, size := binary.Varint(coder.bytes)
	if size <= 0 {
		coder.fail("unexpected end of the data")
		return
	}
	coder.bytes = coder.bytes[size:]
	if int64(T(value)) != value {
		coder.fail("an integer is out of the range of its type")
		return
	}
	*target = T(value)
}

// float encodes or decodes a number as 8 bytes in little-endian order.
func (c *coder) float(target *float64) {
	const size = 8
	if !c.reading {
		c.bytes = binary.LittleEndian.AppendUint64(c.bytes, math.Float64bits(*target))
		return
	}
	if len(c.bytes) < size {
		c.fail("unexpected end of the data")
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
		varint(c, p)
	}
}

// bools encodes or decodes each value as an integer, 1 for true. Any other integer decodes as false.
func (c *coder) bools(targets ...*bool) {
	for _, p := range targets {
		value := uint8(0)
		if *p {
			value = 1
		}
		varint(c, &value)
		*p = value == 1
	}
}

// list encodes or decodes a slice, element by element. An empty slice decodes as nil.
func list[T any](coder *coder, target *[]T, element func(*T)) {
	n := len(*target)
	varint(coder, &n)
	if coder.reading {
		if n < 0 || n > len(coder.bytes) { // each element takes at least one byte
			coder.fail("a list is longer than the remaining data")
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

// Codes of pointers that are not an index into a list.
const (
	pointerNil      = -1
	pointerDetached = -2 // to a value outside the list; for a key, the value follows
)

// indexOf returns the index of each pointer of a list.
func indexOf[T any](list []*T) map[*T]int {
	index := make(map[*T]int, len(list))
	for i, p := range list {
		index[p] = i
	}
	return index
}

// pointer encodes or decodes a pointer into a list as its index, or as pointerNil or pointerDetached, and returns the
// code.
func pointer[T any](coder *coder, target **T, list []*T, index map[*T]int) int {
	at, isInList := index[*target]
	switch {
	case *target == nil:
		at = pointerNil
	case !isInList:
		at = pointerDetached
	}
	varint(coder, &at)
	if coder.reading && at >= 0 {
		if at >= len(list) {
			coder.fail("an index is beyond the end of its list")
			return pointerNil
		}
		*target = list[at]
	}
	return at
}
