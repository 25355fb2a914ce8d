package store

import (
	"errors"
	"fmt"

	"github.com/cockroachdb/pebble"
)

const (
	// maxStuckEngines is how many engines may fail without ending. Each holds on to about a megabyte.
	maxStuckEngines = 8
	// probeBytes is how much a disk has to take before the database is opened again.
	probeBytes = 2 * memTableBytes
	// probeName is the file that a probe writes.
	probeName = "probe"
)

// withDB runs work on the current engine's database.
func (s *Store) withDB(work func(db *pebble.DB) error) error {
	s.mu.RLock()
	current := s.engine
	s.mu.RUnlock()
	if current == nil {
		return errDetached
	}
	return current.withDB(work)
}

// currentEngine returns the engine to write with. Where the last one failed, it opens another if the disk works again. That
// may take long, so no lock is held meanwhile; only the writer's goroutine calls this, so no other opens one.
func (s *Store) currentEngine() (*engine, error) {
	s.mu.RLock()
	current, stuck := s.engine, s.stuckEngines
	s.mu.RUnlock()
	if current != nil {
		return current, nil
	}
	if stuck >= maxStuckEngines {
		return nil, errTooManyStuck
	}
	if err := s.probeDisk(); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	reopened, err := openEngine(s.config)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.stuckEngines++ // it may be half open, and hold memory
		return nil, err
	}
	s.engine = reopened
	s.writer.countReopen()
	return reopened, nil
}

// abandonEngine detaches an engine that failed, and closes it in the background.
func (s *Store) abandonEngine(failed *engine) {
	failed.detach()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.engine != failed {
		return
	}
	s.engine = nil
	s.stuckEngines++
	go s.endAbandoned(failed)
}

// endAbandoned closes an abandoned engine. If that never returns, the engine stays counted as stuck.
func (s *Store) endAbandoned(failed *engine) {
	defer func() {
		recover() // the engine's failure was reported already
	}()
	failed.db.Close() // its error is of no interest for the same reason
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stuckEngines--
}

// probeDisk checks that a disk that failed can store what opening the database needs.
func (s *Store) probeDisk() error {
	fs := s.config.FS
	path := fs.PathJoin(s.config.Dir, probeName)
	file, err := fs.Create(path)
	if err != nil {
		return err
	}
	_, err = file.Write(make([]byte, probeBytes))
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close(), fs.Remove(path))
}
