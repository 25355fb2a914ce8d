// The encoding of snapshots. Nothing here decides.

package admission

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"
)

// coder walks the state once for both directions, so that neither can forget what the other carries.
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
func whole[T ~int | ~int64 | ~uint8 | ~uint32 | ~uint64](c *coder, p *T) {
	if !c.reading {
		c.bytes = binary.AppendVarint(c.bytes, int64(*p))
		return
	}
	value, size := binary.Varint(c.bytes)
	if size <= 0 {
		c.fail("it ends early")
		return
	}
	c.bytes = c.bytes[size:]
	if int64(T(value)) != value {
		c.fail("a number is out of range")
		return
	}
	*p = T(value)
}

// float carries a number as its 8 bytes, least significant first.
func (c *coder) float(p *float64) {
	const size = 8
	if !c.reading {
		c.bytes = binary.LittleEndian.AppendUint64(c.bytes, math.Float64bits(*p))
		return
	}
	if len(c.bytes) < size {
		c.fail("it ends early")
		return
	}
	*p = math.Float64frombits(binary.LittleEndian.Uint64(c.bytes))
	c.bytes = c.bytes[size:]
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

// bools carries each as a whole number, 1 for true; any other number reads as false.
func (c *coder) bools(ps ...*bool) {
	for _, p := range ps {
		value := uint8(0)
		if *p {
			value = 1
		}
		whole(c, &value)
		*p = value == 1
	}
}

// list carries a slice, element by element; an empty one comes back as nil.
func list[T any](c *coder, p *[]T, element func(*T)) {
	n := len(*p)
	whole(c, &n)
	if c.reading {
		if n < 0 || n > len(c.bytes) { // each element takes a byte at least
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

// What stands for pointers that lead to no element of a list.
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

// pointer carries a pointer into a list as its index, or as what it is instead, and returns that.
func pointer[T any](c *coder, p **T, list []*T, index map[*T]int) int {
	at, isInList := index[*p]
	switch {
	case *p == nil:
		at = pointerNil
	case !isInList:
		at = pointerDetached
	}
	whole(c, &at)
	if c.reading && at >= 0 {
		if at >= len(list) {
			c.fail("it points beyond a list")
			return pointerNil
		}
		*p = list[at]
	}
	return at
}
