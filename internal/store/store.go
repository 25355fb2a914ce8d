package store

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/pebble/vfs"
)

// Config is how a folder is opened.
type Config struct {
	Dir      string
	Server   string // whose the folder must be; "" is any
	SiteHash string // of which site the folder must be; "" is any
	Machine  string // on which it is open
	ReadOnly bool
	FS       vfs.FS // nil is the disk
}

// Store is an open folder. Its methods may be called from any goroutine.
type Store struct {
	config   Config
	lock     io.Closer
	identity Identity
	writer   *writer // nil where the folder is read only

	mu           sync.RWMutex
	engine       *engine // nil after a failure, until the disk works again
	stuckEngines int     // that failed and did not end
}

// lockName is the file in a folder whose lock keeps other processes out.
const lockName = "LOCK"

// manifestPrefix begins the names of Pebble's manifests; a folder without one has no database.
const manifestPrefix = "MANIFEST-"

// openRetryInterval is how often a folder that another process uses is tried again.
const openRetryInterval = 20 * time.Millisecond

// Open opens a folder. It creates one that does not exist, unless it is opened read only.
func Open(c Config) (*Store, error) {
	if c.FS == nil {
		c.FS = vfs.Default
	}
	if err := prepareFolder(c); err != nil {
		return nil, err
	}
	lock, err := c.FS.Lock(c.FS.PathJoin(c.Dir, lockName))
	if err != nil {
		return nil, openError(c.Dir, err)
	}
	s := &Store{config: c, lock: lock}
	if err := s.openDatabase(); err != nil {
		lock.Close()
		return nil, err
	}
	if !c.ReadOnly {
		s.writer = startWriter(s)
	}
	return s, nil
}

// prepareFolder makes sure that there is a folder to lock.
func prepareFolder(c Config) error {
	if c.ReadOnly {
		if !hasStore(c) {
			return fmt.Errorf("%s: %w", c.Dir, ErrNoStore)
		}
		return nil
	}
	if err := c.FS.MkdirAll(c.Dir, 0o755); err != nil {
		return openError(c.Dir, err)
	}
	return nil
}

// hasStore tells whether a folder has a store.
func hasStore(c Config) bool {
	names, err := c.FS.List(c.Dir)
	return err == nil && slices.ContainsFunc(names, func(name string) bool { return strings.HasPrefix(name, manifestPrefix) })
}

// openDatabase opens the first engine and checks whose the folder is.
func (s *Store) openDatabase() error {
	var err error
	if s.engine, err = openEngine(s.config); err != nil {
		return err
	}
	if err := s.loadIdentity(); err != nil {
		s.engine.close() // the caller needs the reason above, whatever this returns
		return err
	}
	return nil
}

// OpenWait is Open, but waits for another process that uses the folder until the context ends: the process before this one
// may still drain. It calls waiting once before it waits.
func OpenWait(ctx context.Context, c Config, waiting func()) (*Store, error) {
	s, err := Open(c)
	if !errors.Is(err, ErrInUse) {
		return s, err
	}
	waiting()
	retry := time.NewTicker(openRetryInterval)
	defer retry.Stop()
	for errors.Is(err, ErrInUse) {
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%w, still at the end of the wait", err)
		case <-retry.C:
			s, err = Open(c)
		}
	}
	return s, err
}

// Identity returns whose the folder is.
func (s *Store) Identity() Identity { return s.identity }

// Machine identifies the machine on which the folder is open.
func (s *Store) Machine() string { return s.config.Machine }

// Secret returns the folder's secret, which keys the hashes of request bodies.
func (s *Store) Secret() []byte { return s.identity.Secret }

// Close writes what was handed over and releases the folder. It does not wait long for a stalled disk: what was reported as
// durable is, and the rest was promised to nobody.
func (s *Store) Close() error {
	var err error
	if s.writer != nil {
		err = s.writer.stop()
	}
	s.mu.Lock()
	last := s.engine
	s.engine = nil
	s.mu.Unlock()
	if last != nil {
		err = errors.Join(err, last.close())
	}
	if err != nil {
		err = fmt.Errorf("%s: %w", s.config.Dir, err)
	}
	return errors.Join(err, s.lock.Close())
}
