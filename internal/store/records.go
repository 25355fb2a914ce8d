package store

import (
	"errors"
	"fmt"

	"github.com/cockroachdb/pebble"
)

// recordPrefix begins the database keys of all records but the directory's own.
const recordPrefix = 'u'

// minCompactBytes is how much has to lie in files that were never rewritten before a compaction is worth it.
const minCompactBytes = 1 << 20

// recordKey returns the database's key of a record.
func recordKey(name string) []byte { return append([]byte{recordPrefix}, name...) }

// prefixEnd returns the first key behind all that begin with the prefix, or nil where there is none.
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

// ForEach calls visit with all records whose names begin with the prefix, in the order of names, until it returns an error.
// The bytes are valid during the call only.
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

// Get returns one record, or nil where there is none.
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

// Compact rewrites all records without the removed ones, where much was written since the last time, and returns how many
// bytes that was. Automatic compaction is off: when it may run is up to the caller.
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

// CompactAll is Compact however little was written.
func (s *Store) CompactAll() error { return s.withDB(compact) }

// compact rewrites all records.
func compact(db *pebble.DB) error {
	if err := db.Compact([]byte{0}, []byte{0xff, 0xff}, false); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

// Size returns about how many bytes the directory takes, or 0 while its database has failed.
func (s *Store) Size() (size int64) {
	s.withDB(func(db *pebble.DB) error { // 0 stands for the error, too
		metrics := db.Metrics()
		size = int64(metrics.DiskSpaceUsage())
		return nil
	})
	return size
}
