package store

import (
	"errors"
	"fmt"

	"github.com/cockroachdb/pebble"
)

const (
	// maxStuckEngines is how many failed engines that have not closed are tolerated. Each retains about a megabyte of memory.
	maxStuckEngines = 8
	// probeBytes is how many bytes a probe writes: a disk must store them before the database is reopened.
	probeBytes = 2 * memTableBytes
	// probeName is the name of the file that a probe writes.
	probeName = "probe"
)

// withDB runs work on the current engine's database, or returns errDetached if there is none.
func (s *Store) withDB(work func(db *pebble.DB) error) error {
	s.mu.RLock()
	current := s.engine
	s.mu.RUnlock()
	if current == nil {
		return errDetached
	}
	return current.withDB(work)
}

// currentEngine returns the engine to write with. If the last one failed, it probes the disk and, if the disk works again,
// opens a new engine. A call to the disk that the last engine began before it was detached must end first: it might truncate or
// remove a file of the new engine. All of this may take long, so s.mu is not held meanwhile. No other goroutine opens an engine
// at the same time, because only the writer's goroutine calls currentEngine.
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
	if err := s.disk.waitIdle(hungWriteTimeout); err != nil {
		return nil, err
	}
	s.disk = newDiskAccess(s.config.FS)
	reopened, err := openEngine(s.config, s.disk)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.stuckEngines++ // it may be partly open and retain memory
		return nil, err
	}
	s.engine = reopened
	s.writer.countReopen()
	return reopened, nil
}

// abandonEngine detaches a failed engine and closes it in the background.
func (s *Store) abandonEngine(failed *engine) {
	failed.disk.detach()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.engine != failed {
		return
	}
	s.engine = nil
	s.stuckEngines++
	go s.closeAbandoned(failed)
}

// closeAbandoned closes an abandoned engine. If the close never returns or panics, the engine stays counted as stuck.
func (s *Store) closeAbandoned(failed *engine) {
	defer func() {
		recover() // the engine's failure was reported already
	}()
	failed.db.Close() // the error is ignored for the same reason
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stuckEngines--
}

// probeDisk writes, syncs and removes a file of probeBytes, to check that a disk that failed can store as much as opening the
// database needs.
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
