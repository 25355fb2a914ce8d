package main

import (
	"time"

	"github.com/spf13/cobra"

	"tillerusher/internal/idempotency"
	"tillerusher/internal/store"
)

func newStateRepairCommand() *cobra.Command {
	isUnreadable := func(_ idempotency.Entry, err error, _ time.Time) bool { return err != nil }
	return &cobra.Command{
		Use:   "repair DIR",
		Short: "Remove records that can't be read",
		Long: "repair removes the records that verify reports. Duplicates of their requests may run again afterwards. For that reason\n" +
			"a server does not remove them; it leaves them in place and logs them." + statusHelp,
		Args: cobra.ExactArgs(1),
		RunE: withStore(readWrite, recordRemoval{isUnreadable, "that could not be read were removed"}.run),
	}
}

func newStateExpireCommand() *cobra.Command {
	hasExpired := func(e idempotency.Entry, err error, now time.Time) bool { return err == nil && now.After(e.ExpiresAt) }
	return &cobra.Command{
		Use:   "expire DIR",
		Short: "Remove expired records",
		Long: "expire removes the records whose idempotency window has passed; no duplicate needs them any more. A running server\n" +
			"does this itself a second after the window has passed." + statusHelp,
		Args: cobra.ExactArgs(1),
		RunE: withStore(readWrite, recordRemoval{hasExpired, "whose window has passed were removed"}.run),
	}
}

// recordRemoval removes the records that match a condition.
type recordRemoval struct {
	matches func(e idempotency.Entry, err error, now time.Time) bool
	summary string // printed after the number of removed records
}

// removedRecords is the JSON form of a removal.
type removedRecords struct {
	Removed int `json:"removed"`
}

// run removes the matching records and compacts the store, so that none of their data remains on the disk.
func (r recordRemoval) run(out printer, db *store.Store) error {
	var names []string
	now := time.Now()
	err := forEachRecord(db, func(name string, e idempotency.Entry, _ int, err error) error {
		if !r.matches(e, err, now) {
			return nil
		}
		names = append(names, name)
		if err != nil {
			out.linef("%v", err)
		}
		return nil
	})
	if err != nil {
		return inputError{err}
	}
	if err := removeRecords(db, names); err != nil {
		return inputError{err}
	}
	if err := db.CompactAll(); err != nil {
		return inputError{err}
	}
	out.linef("%d records %s", len(names), r.summary)
	return out.encode(removedRecords{len(names)})
}

// removeRecords removes records and waits until the removal is durable.
func removeRecords(db *store.Store, names []string) error {
	if len(names) == 0 {
		return nil
	}
	var changes []store.Change
	for _, name := range names {
		changes = append(changes, store.Change{Name: name})
	}
	written := make(chan error, 1)
	if err := db.Write(changes, func(err error) { written <- err }); err != nil {
		return err
	}
	return <-written
}
