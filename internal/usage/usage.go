// Package usage accounts for memory that many owners use together, and finds the owner that uses the most of it. When the
// memory is full, taking it from the largest owner keeps a few owners from using the part of all others.
package usage

// Total is the memory that all owners use. The zero value is ready for use. It must not be used concurrently.
type Total[Owner any] struct {
	bytes    int
	accounts []*Account[Owner] // those above 0 bytes, in any order
}

// Account is the memory that one owner uses.
type Account[Owner any] struct {
	Owner Owner
	bytes int
	index int // in Total.accounts, if bytes is above 0
}

// Bytes returns the memory of all owners in bytes.
func (t *Total[Owner]) Bytes() int { return t.bytes }

// Bytes returns the memory of the owner in bytes.
func (a *Account[Owner]) Bytes() int { return a.bytes }

// Owners returns the number of owners that use memory.
func (t *Total[Owner]) Owners() int { return len(t.accounts) }

// Add adds n bytes, which may be negative, to an account. The sum must not be negative.
func (t *Total[Owner]) Add(a *Account[Owner], n int) {
	wasListed := a.bytes > 0
	t.bytes += n
	a.bytes += n
	switch isListed := a.bytes > 0; {
	case isListed && !wasListed:
		a.index = len(t.accounts)
		t.accounts = append(t.accounts, a)
	case wasListed && !isListed:
		t.unlist(a)
	}
}

// unlist removes an account from the list. The last account of the list takes its place.
func (t *Total[Owner]) unlist(a *Account[Owner]) {
	end := len(t.accounts) - 1
	last := t.accounts[end]
	t.accounts[a.index], last.index = last, a.index
	t.accounts[end] = nil
	t.accounts = t.accounts[:end]
}

// Largest returns the account with the most memory, or nil if no owner uses any. Of equal accounts, it returns the first in
// the list, whose order depends on the calls of Add alone.
func (t *Total[Owner]) Largest() *Account[Owner] {
	var largest *Account[Owner]
	for _, a := range t.accounts {
		if largest == nil || a.bytes > largest.bytes {
			largest = a
		}
	}
	return largest
}
