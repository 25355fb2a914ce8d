package store

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cockroachdb/pebble"
)

// Version is the version of the format that this package writes, and the newest it reads.
const Version = 1

// identityKey is the name of the directory's own record.
const identityKey = "\x00identity"

// secretBytes is the length of a directory's secret.
const secretBytes = 16

// Identity says which server and site a directory belongs to.
type Identity struct {
	Version         int    `json:"version"`
	Server          string `json:"server"`
	SiteFingerprint string `json:"site"` // of the site's classes with idempotency keys and their windows
	// Secret keys the hashes of request bodies, so that no sender can predict one.
	Secret    []byte    `json:"secret"`
	CreatedAt time.Time `json:"made"`
}

// newSecret draws a directory's secret.
func newSecret() ([]byte, error) {
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	return secret, nil
}

// parseIdentity reads an identity. Of one with a newer version only the version is read.
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

// loadIdentity reads the directory's identity and compares it with the configuration. A new directory gets one.
func (s *Store) loadIdentity() error {
	dir := s.config.Dir
	text, closer, err := s.engine.db.Get([]byte(identityKey))
	switch {
	case errors.Is(err, pebble.ErrNotFound) && s.config.ReadOnly:
		return fmt.Errorf("%s: %w", dir, ErrNoStore)
	case errors.Is(err, pebble.ErrNotFound):
		return s.initialize()
	case err != nil:
		return fmt.Errorf("%s: %w: %w", dir, ErrCorrupt, err)
	}
	defer closer.Close()
	if s.identity, err = parseIdentity(text); err != nil {
		return fmt.Errorf("%s: %w", dir, err)
	}
	return s.checkOwner()
}

// checkOwner compares the directory's server and site with those of the configuration, where that names them.
func (s *Store) checkOwner() error {
	dir, id, want := s.config.Dir, s.identity, s.config
	if want.Server != "" && id.Server != want.Server {
		return fmt.Errorf("%s: %w: it is %s's, not %s's", dir, ErrForeign, id.Server, want.Server)
	}
	if want.SiteFingerprint != "" && id.SiteFingerprint != want.SiteFingerprint {
		return fmt.Errorf("%s: %w: its classes and windows are those of another site", dir, ErrForeign)
	}
	return nil
}

// initialize writes the identity of a new directory.
func (s *Store) initialize() error {
	if err := s.checkEmpty(); err != nil {
		return err
	}
	secret, err := newSecret()
	if err != nil {
		return err
	}
	s.identity = Identity{
		Version:         Version,
		Server:          s.config.Server,
		SiteFingerprint: s.config.SiteFingerprint,
		Secret:          secret,
		CreatedAt:       time.Now().UTC(),
	}
	text, err := json.Marshal(s.identity)
	if err == nil {
		err = s.engine.withDB(func(db *pebble.DB) error { return db.Set([]byte(identityKey), text, pebble.Sync) })
	}
	if err == nil {
		err = s.syncParent()
	}
	if err != nil {
		return fmt.Errorf("%s: store: %w", s.config.Dir, err)
	}
	return nil
}

// checkEmpty reports a directory that has records and no identity: the identity was lost, so its owner is unknown.
func (s *Store) checkEmpty() error {
	dir := s.config.Dir
	it, err := s.engine.db.NewIter(nil)
	if err != nil {
		return fmt.Errorf("%s: store: %w", dir, err)
	}
	hasRecords := it.First()
	if err := it.Close(); err != nil {
		return fmt.Errorf("%s: store: %w", dir, err)
	}
	if hasRecords {
		return fmt.Errorf("%s: %w: it has records and no identity", dir, ErrCorrupt)
	}
	return nil
}

// syncParent makes a new directory's entry in its parent survive a power cut; Pebble syncs only what is in the directory.
func (s *Store) syncParent() error {
	fs := s.config.FS
	parent, err := fs.OpenDir(fs.PathDir(s.config.Dir))
	if err != nil {
		return err
	}
	return errors.Join(parent.Sync(), parent.Close())
}
