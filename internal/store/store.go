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

// Config describes how a state directory is opened.
type Config struct {
	Dir             string
	Server          string // the server that the directory must belong to; "" means any
	SiteFingerprint string // fingerprint of the site that the directory must belong to; "" means any
	Machine         string // identifies the machine on which the directory is opened
	ReadOnly        bool
	FS              vfs.FS // nil means vfs.Default, the file system of the operating system
}

// Store is an open state directory. Its methods are safe for concurrent use.
type Store struct {
	config   Config
	lock     io.Closer
	identity Identity
	writer   *writer     // nil if the directory is opened read-only
	disk     *diskAccess // of the last engine; used by Open and then by the writer's goroutine

	mu           sync.RWMutex
	engine       *engine // nil after a failure, until the disk works again
	stuckEngines int     // number of failed engines that have not closed
}

// lockName is the name of the file in a directory whose lock excludes other processes.
const lockName = "LOCK"

// manifestPrefix is the prefix of the names of Pebble's manifests. A directory without a manifest has no database.
const manifestPrefix = "MANIFEST-"

// openRetryInterval is the interval at which OpenWait retries to open a directory that another process uses.
const openRetryInterval = 20 * time.Millisecond

// Open opens a directory and locks it until Close. It creates a directory that does not exist, unless config.ReadOnly is set.
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

// prepareDirectory creates the directory, or if it is opened read-only, checks that it has a store.
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

// hasStore reports whether a directory has a store, which always has a manifest.
func hasStore(config Config) bool {
	names, err := config.FS.List(config.Dir)
	return err == nil && slices.ContainsFunc(names, func(name string) bool { return strings.HasPrefix(name, manifestPrefix) })
}

// openDatabase opens the first engine and checks the directory's identity.
func (s *Store) openDatabase() error {
	var err error
	s.disk = newDiskAccess(s.config.FS)
	if s.engine, err = openEngine(s.config, s.disk); err != nil {
		return err
	}
	if err := s.loadIdentity(); err != nil {
		s.engine.close() // its error is ignored: the caller needs the one above
		return err
	}
	return nil
}

// OpenWait is like Open, but while another process uses the directory, it retries until ctx is done: the previous process may
// still be draining. It calls waiting once before it waits.
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
			return nil, fmt.Errorf("%w; gave up waiting", err)
		case <-retry.C:
			opened, err = Open(config)
		}
	}
	return opened, err
}

// Identity returns the directory's identity.
func (s *Store) Identity() Identity { return s.identity }

// Machine returns Config.Machine, which identifies the machine on which the directory is open.
func (s *Store) Machine() string { return s.config.Machine }

// Secret returns the directory's secret, which keys the hashes of request bodies.
func (s *Store) Secret() []byte { return s.identity.Secret }

// Close writes the pending changes, closes the database and releases the directory's lock. It waits at most closeTimeout for
// the writer and as long for the database, so on a stalled disk, changes that were not reported as durable may be lost.
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
