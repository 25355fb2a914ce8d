package main

import (
	"errors"
	"time"

	"github.com/spf13/cobra"

	"tillerusher/internal/idempotency"
	"tillerusher/internal/store"
)

func newStateCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "state",
		Short: "Inspect, check and repair the state that a server keeps across restarts",
		Long: "state inspects and changes the state directory of `catalogue-server serve --state DIR`; docs/state.md describes its\n" +
			"contents. A directory that a server uses can't be opened: stop the server, or copy the directory." + statusHelp,
	}
	cmd.AddCommand(
		newStateInfoCommand(),
		newStateVerifyCommand(),
		newStateDumpCommand(),
		newStateRepairCommand(),
		newStateExpireCommand(),
		newStateServeCommand(),
		newStateCostCommand(),
		newStateRecoveryCommand(),
	)
	return cmd
}

// forEachRecord calls visit for each record of a store, with the size of its value in bytes. If a record can't be decoded, err is not
// nil.
func forEachRecord(db *store.Store, visit func(name string, e idempotency.Entry, size int, err error) error) error {
	return db.ForEach(idempotency.RecordPrefix, func(name, value []byte) error {
		e, err := idempotency.DecodeEntry(string(name), value)
		return visit(string(name), e, len(value), err)
	})
}

// Modes in which withStore opens a state directory.
const (
	readOnly  = true
	readWrite = false
)

// withStore returns the RunE function of a command whose argument is a state directory. It opens the directory, calls run and closes
// the store.
func withStore(isReadOnly bool, run func(out printer, db *store.Store) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) (err error) {
		db, err := store.Open(store.Config{Dir: args[0], ReadOnly: isReadOnly})
		if err != nil {
			return inputError{err}
		}
		defer func() {
			if closeErr := db.Close(); err == nil && closeErr != nil {
				err = inputError{closeErr}
			}
		}()
		return run(newPrinter(cmd), db)
	}
}

func newStateInfoCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "info DIR",
		Short: "Print which server a state directory belongs to and how many records it has",
		Long: "info prints the server to which a state directory belongs, its time of creation, the number of records by state, the\n" +
			"number of expired and unreadable records, and the sizes." + statusHelp,
		Example: "  cataloguectl state info /var/lib/tillerusher/state",
		Args:    cobra.ExactArgs(1),
		RunE:    withStore(readOnly, printStateInfo),
	}
}

// stateInfo is the JSON form of the description of a state directory.
type stateInfo struct {
	Server     string         `json:"server"`
	Version    int            `json:"version"`
	Site       string         `json:"site"`
	CreatedAt  time.Time      `json:"made"`
	States     map[string]int `json:"states"` // unexpired records by state
	Expired    int            `json:"ran_out"`
	Unreadable int            `json:"unread"`
	Bytes      int            `json:"bytes"`
	Disk       int64          `json:"disk"`
}

// printStateInfo prints the description of a state directory.
func printStateInfo(out printer, db *store.Store) error {
	id := db.Identity()
	info := stateInfo{Server: id.Server, Version: id.Version, Site: id.SiteFingerprint, CreatedAt: id.CreatedAt, States: map[string]int{}}
	now := time.Now()
	err := forEachRecord(db, func(_ string, e idempotency.Entry, size int, err error) error {
		info.Bytes += size
		switch {
		case err != nil:
			info.Unreadable++
		case now.After(e.ExpiresAt):
			info.Expired++
		default:
			info.States[e.State.String()]++
		}
		return nil
	})
	if err != nil {
		return inputError{err}
	}
	info.Disk = db.Size()
	out.linef("state directory of %s, format version %d, created %s", info.Server, info.Version, info.CreatedAt.Format(time.RFC3339))
	out.linef("site: %s", info.Site)
	out.linef("unexpired records: %d done, %d intents, %d with evicted responses; %d records expired, %d unreadable; "+
		"%d bytes of records, %d bytes on disk", info.States["done"], info.States["intent"], info.States["answer given up"], info.Expired,
		info.Unreadable, info.Bytes, info.Disk)
	return out.encode(info)
}

func newStateVerifyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "verify DIR",
		Short: "Read all records of a state directory and print the damaged ones",
		Long: "verify reads every record, checks its checksum and prints an error for each record that can't be read. The exit status\n" +
			"is 1 if there are any." + statusHelp,
		Args: cobra.ExactArgs(1),
		RunE: withStore(readOnly, verifyState),
	}
}

// stateVerification is the JSON form of the result of state verify.
type stateVerification struct {
	Whole int      `json:"whole"`
	Bad   []string `json:"bad"` // errors
}

// verifyState prints an error for each record that can't be read, and the counts.
func verifyState(out printer, db *store.Store) error {
	result := stateVerification{Bad: []string{}}
	err := forEachRecord(db, func(_ string, _ idempotency.Entry, _ int, err error) error {
		if err != nil {
			result.Bad = append(result.Bad, err.Error())
		} else {
			result.Whole++
		}
		return nil
	})
	if errors.Is(err, store.ErrCorrupt) {
		result.Bad = append(result.Bad, err.Error())
	} else if err != nil {
		return inputError{err}
	}
	for _, text := range result.Bad {
		out.linef("%s", text)
	}
	out.linef("%d records intact, %d damaged", result.Whole, len(result.Bad))
	if err := out.encode(result); err != nil {
		return err
	}
	return problemFoundIf(len(result.Bad) > 0)
}

func newStateDumpCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "dump DIR",
		Short: "Print all records, one per line",
		Long: "dump prints each record's class, key and state, the time at which the attempt that ran was received, the time until\n" +
			"which the request must not run again, and the size of the response body. Records are sorted by class and key." + statusHelp,
		Example: "  cataloguectl state dump /var/lib/tillerusher/state --json",
		Args:    cobra.ExactArgs(1),
		RunE:    withStore(readOnly, dumpState),
	}
}

// dumpedRecord is the JSON form of a record. An unreadable record has only its name, as Key, and an error.
type dumpedRecord struct {
	Class    string    `json:"class"`
	Key      string    `json:"key"`
	State    string    `json:"state"`
	Received time.Time `json:"received"`
	Until    time.Time `json:"until"`
	Status   int       `json:"status,omitempty"`
	Bytes    int       `json:"bytes"`
	Error    string    `json:"error,omitempty"`
}

// dumpState prints all records in the order of their names.
func dumpState(out printer, db *store.Store) error {
	err := forEachRecord(db, func(name string, e idempotency.Entry, _ int, err error) error {
		r := dumpedRecord{
			Class:    e.Key.Class,
			Key:      e.Key.Key,
			State:    e.State.String(),
			Received: e.ReceivedAt.UTC(),
			Until:    e.ExpiresAt.UTC(),
			Status:   e.Response.Status,
			Bytes:    len(e.Response.Body),
		}
		if err != nil {
			r = dumpedRecord{Key: name, Error: err.Error()}
		}
		out.linef("%s %s %s received %s, expires %s, %d bytes %s", r.Class, r.Key, r.State, r.Received.Format(time.RFC3339Nano),
			r.Until.Format(time.RFC3339Nano), r.Bytes, r.Error)
		return out.encode(r)
	})
	if err != nil {
		return inputError{err}
	}
	return nil
}
