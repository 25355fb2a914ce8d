package store

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cockroachdb/pebble"
)

// Version is the format version that this package writes, and the newest that it reads.
const Version = 1

// identityKey is the database key of the directory's identity.
const identityKey = "\x00identity"

// secretBytes is the length of a directory's secret in bytes.
const secretBytes = 16

// Identity identifies the server and the site that a directory belongs to.
type Identity struct {
	Version         int    `json:"version"`
	Server          string `json:"server"`
	SiteFingerprint string `json:"site"` // of the site's classes with idempotency keys and their windows
	// Secret keys the hashes of request bodies, so that a sender cannot predict a hash.
	Secret    []byte    `json:"secret"`
	CreatedAt time.Time `json:"made"`
}

// newSecret returns a random secret for a new directory.
func newSecret() ([]byte, error) {
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	return secret, nil
}

// parseIdentity decodes and validates an identity. If its version is newer, nothing but the version is checked.
func parseIdentity(text []byte) (Identity, error) {
	var id Identity
	err := json.Unmarshal(text, &id)
	switch {
	case id.Version > Version:
		return id, fmt.Errorf("%w: version %d, this program reads up to %d", ErrNewerVersion, id.Version, Version)
	case err != nil:
		return id, fmt.Errorf("%w: invalid identity: %w", ErrCorrupt, err)
	case id.Version < 1 || len(id.Secret) != secretBytes:
		return id, fmt.Errorf("%w: invalid identity: version %d and a secret of %d bytes, want version 1 and %d bytes",
			ErrCorrupt, id.Version, len(id.Secret), secretBytes)
	}
	return id, nil
}

// loadIdentity reads the directory's identity and checks its owner. It writes an identity to a new directory, unless the
// directory is opened read-only.
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

// checkOwner returns an error if the directory belongs to another server or site than the configuration names. A server or
// site that the configuration leaves empty is not checked.
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

// checkEmpty returns ErrCorrupt if a directory without an identity has records: the identity was lost, so the owner is unknown.
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
		return fmt.Errorf("%s: %w: it has records but no identity", dir, ErrCorrupt)
	}
	return nil
}

// syncParent syncs the parent directory, so that the entry of a new directory survives a power cut. Pebble syncs only the
// contents of the directory.
func (s *Store) syncParent() error {
	fs := s.config.FS
	parent, err := fs.OpenDir(fs.PathDir(s.config.Dir))
	if err != nil {
		return err
	}
	return errors.Join(parent.Sync(), parent.Close())
}
