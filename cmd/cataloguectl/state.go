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
		Short: "Inspect, check and repair what a server keeps over restarts",
		Long: "state inspects the directory of `catalogue-server serve --state DIR`; docs/state.md says what is in it. A directory that\n" +
			"a server uses can't be opened: stop the server, or copy the directory." + statusHelp,
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

// forEachRecord reads all records of a store. Those that can't be decoded are visited with their error.
func forEachRecord(db *store.Store, visit func(name string, e idempotency.Entry, size int, err error) error) error {
	return db.ForEach(idempotency.RecordPrefix, func(name, value []byte) error {
		e, err := idempotency.DecodeEntry(string(name), value)
		return visit(string(name), e, len(value), err)
	})
}

// The modes in which withStore opens a directory.
const (
	readOnly  = true
	readWrite = false
)

// withStore adapts a function to a command whose argument is a state directory.
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
		Short: "Print which server a directory belongs to and how much it keeps",
		Long: "info prints which server a directory belongs to, when it was created, how many records it has by state, and how many\n" +
			"have expired." + statusHelp,
		Example: "  cataloguectl state info /var/lib/tillerusher/state",
		Args:    cobra.ExactArgs(1),
		RunE:    withStore(readOnly, printStateInfo),
	}
}

// stateInfo is the JSON of a directory.
type stateInfo struct {
	Server     string         `json:"server"`
	Version    int            `json:"version"`
	Site       string         `json:"site"`
	CreatedAt  time.Time      `json:"made"`
	States     map[string]int `json:"states"` // records by state
	Expired    int            `json:"ran_out"`
	Unreadable int            `json:"unread"`
	Bytes      int            `json:"bytes"`
	Disk       int64          `json:"disk"`
}

// printStateInfo prints what is in a directory.
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
	out.linef("the folder of %s, format version %d, made %s", info.Server, info.Version, info.CreatedAt.Format(time.RFC3339))
	out.linef("site: %s", info.Site)
	out.linef("in their window: %d done, %d intents, %d whose answers were given up; %d ran out, %d can't be read; "+
		"%d bytes of records, %d on the disk", info.States["done"], info.States["intent"], info.States["answer given up"], info.Expired,
		info.Unreadable, info.Bytes, info.Disk)
	return out.encode(info)
}

func newStateVerifyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "verify DIR",
		Short: "Read everything in a directory and name what is damaged",
		Long:  "verify reads every record with its checksum, and names those that can't be read: exit status 1 if there are any." + statusHelp,
		Args:  cobra.ExactArgs(1),
		RunE:  withStore(readOnly, verifyState),
	}
}

// stateVerification is the JSON of a verification.
type stateVerification struct {
	Whole int      `json:"whole"`
	Bad   []string `json:"bad"` // errors
}

// verifyState prints the records that can't be read.
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
	out.linef("%d records are whole, %d are not", result.Whole, len(result.Bad))
	if err := out.encode(result); err != nil {
		return err
	}
	return problemFoundIf(len(result.Bad) > 0)
}

func newStateDumpCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "dump DIR",
		Short: "Print all records, one a line",
		Long: "dump prints the class, the key, the state, when the attempt that ran was received, until when it must not run again, and\n" +
			"the size of its answer, in the order of classes and keys." + statusHelp,
		Example: "  cataloguectl state dump /var/lib/tillerusher/state --json",
		Args:    cobra.ExactArgs(1),
		RunE:    withStore(readOnly, dumpState),
	}
}

// dumpedRecord is the JSON of a record. One that can't be read has its name as key and an error.
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

// dumpState prints all records.
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
		out.linef("%s %s %s received %s, until %s, %d bytes %s", r.Class, r.Key, r.State, r.Received.Format(time.RFC3339Nano),
			r.Until.Format(time.RFC3339Nano), r.Bytes, r.Error)
		return out.encode(r)
	})
	if err != nil {
		return inputError{err}
	}
	return nil
}
