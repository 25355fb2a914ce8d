package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/pebble"
	"github.com/cockroachdb/pebble/vfs"
)

// Version is the version of the format that this package writes, and the newest it reads.
const Version = 1

// The errors of opening a folder. They are wrapped with the folder's name and what was found.
var (
	ErrInUse        = errors.New("store: another process uses the folder")
	ErrForeign      = errors.New("store: the folder is another server's")
	ErrNewerVersion = errors.New("store: the folder is of a newer version")
	ErrCorrupt      = errors.New("store: the folder is damaged")
	ErrNoStore      = errors.New("store: the folder has no store")
)

// Identity says whose a folder is.
type Identity struct {
	Version   int       `json:"version"`
	Server    string    `json:"server"`
	SiteHash  string    `json:"site"` // a sum over what the site's settings say of keys
	Secret    []byte    `json:"secret"`
	CreatedAt time.Time `json:"made"`
}

// Config is how a folder is opened.
type Config struct {
	Dir      string
	Server   string
	SiteHash string
	Machine  string // on which it is open
	ReadOnly bool
	FS       vfs.FS // nil is the disk
}

// The names of records that are the folder's own.
const (
	identityKey  = "\x00identity"
	recordPrefix = 'u' // replaced the names of all others
)

// The store's share of a small server's memory.
const (
	cacheBytes    = 1 << 20
	memTableBytes = 512 << 10
	openFiles     = 32
)

// Store is an open folder.
type Store struct {
	config   Config
	lock     io.Closer
	identity Identity
	writer   *writer // nil where it is only read

	mu     sync.RWMutex
	engine *engine // nil after a failure, until the disk is well
	stuck  int     // engines that failed and did not end
}

// lockName is the file in a folder by which one process has it.
const lockName = "LOCK"

// Open opens a folder, and makes it where it is not there and may be written.
func Open(c Config) (*Store, error) {
	if c.FS == nil {
		c.FS = vfs.Default
	}
	if c.ReadOnly && !hasStore(c) {
		return nil, fmt.Errorf("%s: %w", c.Dir, ErrNoStore)
	}
	if !c.ReadOnly {
		if err := c.FS.MkdirAll(c.Dir, 0o755); err != nil {
			return nil, openError(c.Dir, err)
		}
	}
	lock, err := c.FS.Lock(c.FS.PathJoin(c.Dir, lockName))
	if err != nil {
		return nil, openError(c.Dir, err)
	}
	s := &Store{config: c, lock: lock}
	if s.engine, err = openEngine(c); err == nil {
		if err = s.loadIdentity(c); err != nil {
			s.engine.close() // why it is not used is told, whatever comes of this
		}
	}
	if err != nil {
		lock.Close()
		return nil, err
	}
	if !c.ReadOnly {
		s.writer = startWriter(s)
	}
	return s, nil
}

// openRetryInterval is how often a folder that another process uses is tried again.
const openRetryInterval = 20 * time.Millisecond

// OpenWait is Open, but waits for the end of another process that uses the folder, until the context ends: the process
// before this one may still drain. It calls waiting once before it waits.
func OpenWait(ctx context.Context, c Config, waiting func()) (*Store, error) {
	s, err := Open(c)
	if !errors.Is(err, ErrInUse) {
		return s, err
	}
	waiting()
	again := time.NewTicker(openRetryInterval)
	defer again.Stop()
	for errors.Is(err, ErrInUse) {
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%w, still at the end of the wait", err)
		case <-again.C:
			s, err = Open(c)
		}
	}
	return s, err
}

// hasStore tells whether a folder has a store.
func hasStore(c Config) bool {
	names, err := c.FS.List(c.Dir)
	return err == nil && slices.ContainsFunc(names, func(name string) bool { return strings.HasPrefix(name, "MANIFEST-") })
}

// openError names why a folder could not be opened.
func openError(dir string, err error) error {
	switch {
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EACCES) && isLockedByOther(dir), strings.Contains(err.Error(), "lock held by current process"):
		return fmt.Errorf("%s: %w", dir, ErrInUse)
	case errors.Is(err, fs.ErrPermission), errors.Is(err, syscall.ENOSPC), errors.Is(err, syscall.EIO), errors.Is(err, fs.ErrNotExist):
		return fmt.Errorf("%s: store: %w", dir, err)
	}
	if errors.Is(err, ErrCorrupt) {
		return fmt.Errorf("%s: %w", dir, err)
	}
	return fmt.Errorf("%s: %w: %w", dir, ErrCorrupt, err)
}

// isLockedByOther tells whether the folder's lock is held by another.
func isLockedByOther(dir string) bool {
	f, err := os.Open(filepath.Join(dir, "LOCK"))
	if err != nil {
		return false
	}
	defer f.Close()
	return syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == syscall.EWOULDBLOCK
}

// loadIdentity reads whose the folder is, or writes it into a new one.
func (s *Store) loadIdentity(c Config) error {
	text, closer, err := s.engine.db.Get([]byte(identityKey))
	switch {
	case errors.Is(err, pebble.ErrNotFound) && c.ReadOnly:
		return fmt.Errorf("%s: %w", c.Dir, ErrNoStore)
	case errors.Is(err, pebble.ErrNotFound):
		return s.initialize(c)
	case err != nil:
		return fmt.Errorf("%s: %w: %w", c.Dir, ErrCorrupt, err)
	}
	defer closer.Close()
	if s.identity, err = parseIdentity(text); err != nil {
		return fmt.Errorf("%s: %w", c.Dir, err)
	}
	switch id := s.identity; {
	case c.Server != "" && id.Server != c.Server:
		return fmt.Errorf("%s: %w: it is %s's, not %s's", c.Dir, ErrForeign, id.Server, c.Server)
	case c.SiteHash != "" && id.SiteHash != c.SiteHash:
		return fmt.Errorf("%s: %w: its classes and windows are those of another site", c.Dir, ErrForeign)
	}
	return nil
}

// parseIdentity reads whose a folder is. Of a newer version nothing but that is known.
func parseIdentity(text []byte) (Identity, error) {
	var id Identity
	err := json.Unmarshal(text, &id)
	switch {
	case id.Version > Version:
		return id, fmt.Errorf("%w: version %d, this program reads up to %d", ErrNewerVersion, id.Version, Version)
	case err != nil:
		return id, fmt.Errorf("%w: its identity: %w", ErrCorrupt, err)
	case id.Version < 1 || len(id.Secret) != secretBytes:
		return id, fmt.Errorf("%w: its identity: version %d, a secret of %d bytes, want 1 and %d", ErrCorrupt, id.Version, len(id.Secret), secretBytes)
	}
	return id, nil
}

// initialize makes a new folder this server's. A folder that has records and no name lost it: it is nobody's.
func (s *Store) initialize(c Config) error {
	it, err := s.engine.db.NewIter(nil)
	if err != nil {
		return fmt.Errorf("%s: store: %w", c.Dir, err)
	}
	any := it.First()
	if err := it.Close(); err != nil {
		return fmt.Errorf("%s: store: %w", c.Dir, err)
	}
	if any {
		return fmt.Errorf("%s: %w: it has records and no identity", c.Dir, ErrCorrupt)
	}
	secret, err := newSecret()
	if err != nil {
		return err
	}
	s.identity = Identity{Version: Version, Server: c.Server, SiteHash: c.SiteHash, Secret: secret, CreatedAt: time.Now().UTC()}
	text, err := json.Marshal(s.identity)
	if err == nil {
		err = s.engine.withDB(func(db *pebble.DB) error { return db.Set([]byte(identityKey), text, pebble.Sync) })
	}
	if err == nil {
		err = syncParent(c)
	}
	if err != nil {
		return fmt.Errorf("%s: store: %w", c.Dir, err)
	}
	return nil
}

// syncParent makes the entry of a new folder in the one around it outlast a power cut: Pebble syncs what is in the folder.
func syncParent(c Config) error {
	d, err := c.FS.OpenDir(c.FS.PathDir(c.Dir))
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Identity is whose the folder is.
func (s *Store) Identity() Identity { return s.identity }

// Machine tells the machine apart on which the store is open.
func (s *Store) Machine() string { return s.config.Machine }

// Secret is the folder's, by which bodies are summed.
func (s *Store) Secret() []byte { return s.identity.Secret }

// ForEach hands on all records whose names begin with the prefix, in the order of names, until visit returns an error. The
// bytes are valid during the call only.
func (s *Store) ForEach(prefix string, visit func(name, value []byte) error) error {
	low := append([]byte{recordPrefix}, prefix...)
	return s.withDB(func(db *pebble.DB) error {
		it, err := db.NewIter(&pebble.IterOptions{LowerBound: low, UpperBound: prefixEnd(low)})
		if err != nil {
			return fmt.Errorf("store: %w", err)
		}
		for ok := it.First(); ok && err == nil; ok = it.Next() {
			err = visit(it.Key()[1:], it.Value())
		}
		if other := it.Close(); err == nil && other != nil {
			err = fmt.Errorf("store: %w", other)
		}
		return err
	})
}

// prefixEnd is the first name behind all that begin with the prefix.
func prefixEnd(prefix []byte) []byte {
	end := append([]byte(nil), prefix...)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i]++; end[i] != 0 {
			return end[:i+1]
		}
	}
	return nil
}

// Get is one record, or nil where there is none.
func (s *Store) Get(name string) (value []byte, err error) {
	err = s.withDB(func(db *pebble.DB) error {
		v, closer, err := db.Get(append([]byte{recordPrefix}, name...))
		if errors.Is(err, pebble.ErrNotFound) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("store: %w", err)
		}
		value = append([]byte{}, v...)
		return closer.Close()
	})
	if err != nil {
		return nil, err
	}
	return value, nil
}

// minCompactBytes is how much has to lie in files that were never rewritten before it is worth while.
const minCompactBytes = 1 << 20

// Compact rewrites all records without those that were removed, where much was written since the last time, and returns how
// many bytes that was. Nothing else rewrites them: when it is done is the caller's affair.
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

func compact(db *pebble.DB) error {
	if err := db.Compact([]byte{0}, []byte{0xff, 0xff}, false); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

// Size is about how many bytes the folder takes.
func (s *Store) Size() (n int64) {
	s.withDB(func(db *pebble.DB) error { // a store that failed has none that can be told
		m := db.Metrics()
		n = int64(m.DiskSpaceUsage())
		return nil
	})
	return n
}

// Close ends the writing, with all that was handed over, and lets go of the folder. It does not wait long for a disk that
// stands still: what was told to be down is down, and the rest was promised to nobody.
func (s *Store) Close() error {
	var err error
	if s.writer != nil {
		err = s.writer.stop()
	}
	s.mu.Lock()
	e := s.engine
	s.engine = nil
	s.mu.Unlock()
	if e != nil {
		err = errors.Join(err, e.close())
	}
	if err != nil {
		err = fmt.Errorf("%s: %w", s.config.Dir, err)
	}
	return errors.Join(err, s.lock.Close())
}
