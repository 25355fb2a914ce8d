package store

import (
	"errors"
	"fmt"

	"github.com/cockroachdb/pebble"
)

// recordPrefix is the first byte of the database keys of all records. The key of the identity does not have it.
const recordPrefix = 'u'

// minCompactBytes is the minimum total size of files that were never compacted at which Compact runs a compaction.
const minCompactBytes = 1 << 20

// recordKey returns the database key of a record.
func recordKey(name string) []byte { return append([]byte{recordPrefix}, name...) }

// prefixEnd returns the smallest key that is greater than all keys with the prefix, or nil if there is none.
func prefixEnd(prefix []byte) []byte {
	end := append([]byte(nil), prefix...)
	for i := len(end) - 1; i >= 0; i-- {
		end[i]++
		if end[i] != 0 {
			return end[:i+1]
		}
	}
	return nil
}

// ForEach calls visit for each record whose name begins with the prefix, in the order of names. It stops at the first error and
// returns it. The slices passed to visit are valid only during the call.
func (s *Store) ForEach(prefix string, visit func(name, value []byte) error) error {
	lower := recordKey(prefix)
	return s.withDB(func(db *pebble.DB) error {
		it, err := db.NewIter(&pebble.IterOptions{LowerBound: lower, UpperBound: prefixEnd(lower)})
		if err != nil {
			return fmt.Errorf("store: %w", err)
		}
		for ok := it.First(); ok && err == nil; ok = it.Next() {
			err = visit(it.Key()[1:], it.Value())
		}
		if closeErr := it.Close(); err == nil && closeErr != nil {
			err = fmt.Errorf("store: %w", closeErr)
		}
		return err
	})
}

// Get returns the value of a record, or nil if there is no such record.
func (s *Store) Get(name string) (value []byte, err error) {
	err = s.withDB(func(db *pebble.DB) error {
		stored, closer, err := db.Get(recordKey(name))
		if errors.Is(err, pebble.ErrNotFound) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("store: %w", err)
		}
		value = append([]byte{}, stored...) // stored is valid until the closer is closed
		return closer.Close()
	})
	if err != nil {
		return nil, err
	}
	return value, nil
}

// Compact rewrites all records and drops the removed ones, if at least minCompactBytes are in files written since the last
// compaction. It returns the size of these files, or 0 if it did nothing. Automatic compaction is off: the caller decides when
// a compaction may run.
func (s *Store) Compact() (bytes int64, err error) {
	err = s.withDB(func(db *pebble.DB) error {
		if bytes = db.Metrics().Levels[0].Size; bytes < minCompactBytes {
			bytes = 0
			return nil
		}
		return compact(db)
	})
	if err != nil {
		return 0, err
	}
	return bytes, nil
}

// CompactAll is like Compact, but does not depend on how much was written.
func (s *Store) CompactAll() error { return s.withDB(compact) }

// compact compacts the key range of all records.
func compact(db *pebble.DB) error {
	if err := db.Compact([]byte{0}, []byte{0xff, 0xff}, false); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

// Size returns the approximate disk usage of the directory in bytes, or 0 while its database has failed.
func (s *Store) Size() (size int64) {
	s.withDB(func(db *pebble.DB) error { // the error is ignored: the result is 0
		metrics := db.Metrics()
		size = int64(metrics.DiskSpaceUsage())
		return nil
	})
	return size
}
