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

// Config is how a directory is opened.
type Config struct {
	Dir             string
	Server          string // that the directory must belong to; "" is any
	SiteFingerprint string // of the site that the directory must belong to; "" is any
	Machine         string // on which it is open
	ReadOnly        bool
	FS              vfs.FS // nil is the disk
}

// Store is an open directory. Its methods may be called from any goroutine.
type Store struct {
	config   Config
	lock     io.Closer
	identity Identity
	writer   *writer // nil where the directory is read only

	mu           sync.RWMutex
	engine       *engine // nil after a failure, until the disk works again
	stuckEngines int     // that failed and did not end
}

// lockName is the file in a directory whose lock keeps other processes out.
const lockName = "LOCK"

// manifestPrefix begins the names of Pebble's manifests; a directory without one has no database.
const manifestPrefix = "MANIFEST-"

// openRetryInterval is how often a directory that another process uses is tried again.
const openRetryInterval = 20 * time.Millisecond

// Open opens a directory. It creates one that does not exist, unless it is opened read only.
func Open(config Config) (*Store, error) {
	if config.FS == nil {
		config.FS = vfs.Default
	}
	if err := prepareDirectory(config); err != nil {
		return nil, err
	}
	lock, err := config.FS.Lock(config.FS.PathJoin(config.Dir, lockName))
	if err != nil {
		return nil, openError(config.Dir, err)
	}
	opened := &Store{config: config, lock: lock}
	if err := opened.openDatabase(); err != nil {
		lock.Close()
		return nil, err
	}
	if !config.ReadOnly {
		opened.writer = startWriter(opened)
	}
	return opened, nil
}

// prepareDirectory makes sure that there is a directory to lock.
func prepareDirectory(config Config) error {
	if config.ReadOnly {
		if !hasStore(config) {
			return fmt.Errorf("%s: %w", config.Dir, ErrNoStore)
		}
		return nil
	}
	if err := config.FS.MkdirAll(config.Dir, 0o755); err != nil {
		return openError(config.Dir, err)
	}
	return nil
}

// hasStore reports whether a directory has a store.
func hasStore(config Config) bool {
	names, err := config.FS.List(config.Dir)
	return err == nil && slices.ContainsFunc(names, func(name string) bool { return strings.HasPrefix(name, manifestPrefix) })
}

// openDatabase opens the first engine and checks the directory's identity.
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

// OpenWait is Open, but waits for another process that uses the directory until the context ends: the process before this one
// may still drain. It calls waiting once before it waits.
func OpenWait(ctx context.Context, config Config, waiting func()) (*Store, error) {
	opened, err := Open(config)
	if !errors.Is(err, ErrInUse) {
		return opened, err
	}
	waiting()
	retry := time.NewTicker(openRetryInterval)
	defer retry.Stop()
	for errors.Is(err, ErrInUse) {
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%w, still at the end of the wait", err)
		case <-retry.C:
			opened, err = Open(config)
		}
	}
	return opened, err
}

// Identity returns which server and site the directory belongs to.
func (s *Store) Identity() Identity { return s.identity }

// Machine identifies the machine on which the directory is open.
func (s *Store) Machine() string { return s.config.Machine }

// Secret returns the directory's secret, which keys the hashes of request bodies.
func (s *Store) Secret() []byte { return s.identity.Secret }

// Close writes the pending changes and releases the directory. It does not wait long for a stalled disk, so
// changes that were not reported as durable may be lost.
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
