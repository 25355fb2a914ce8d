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
		Long: "repair removes the records that verify names. Duplicates of their requests may run again: that is why a server\n" +
			"leaves them in place and says so, and does not do this by itself." + statusHelp,
		Args: cobra.ExactArgs(1),
		RunE: withStore(readWrite, recordRemoval{isUnreadable, "that could not be read are removed"}.run),
	}
}

func newStateExpireCommand() *cobra.Command {
	hasExpired := func(e idempotency.Entry, err error, now time.Time) bool { return err == nil && now.After(e.ExpiresAt) }
	return &cobra.Command{
		Use:   "expire DIR",
		Short: "Remove records whose window has passed",
		Long: "expire removes what no duplicate can ask for any more; a server does so by itself, a second after the window has\n" +
			"passed." + statusHelp,
		Args: cobra.ExactArgs(1),
		RunE: withStore(readWrite, recordRemoval{hasExpired, "whose window has passed are removed"}.run),
	}
}

// recordRemoval removes the records that match a condition.
type recordRemoval struct {
	matches func(e idempotency.Entry, err error, now time.Time) bool
	summary string // what is printed after the number of records
}

// removedRecords is the JSON of a removal.
type removedRecords struct {
	Removed int `json:"removed"`
}

// run removes the records and compacts the store, so that nothing of them is left on the disk.
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

// removeRecords removes records and waits until that is durable.
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
