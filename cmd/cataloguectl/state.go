package main

import (
	"errors"
	"time"

	"github.com/spf13/cobra"

	"tillerusher/internal/idempotency"
	"tillerusher/internal/store"
)

func stateCommand() *cobra.Command {
	c := &cobra.Command{Use: "state", Short: "Look into what a server keeps over restarts, check and mend it",
		Long: "state looks into the folder of `catalogue-server serve --state DIR`; docs/state.md says what is in it. A folder that a server\n" +
			"uses can't be opened: stop the server, or copy the folder." + statuses}
	c.AddCommand(stateInfoCommand(), stateVerifyCommand(), stateDumpCommand(), stateRepairCommand(), stateExpireCommand(), stateServeCommand(), stateCostCommand(), stateRecoveryCommand())
	return c
}

// kept is a record as it is printed.
type kept struct {
	Class  string    `json:"class"`
	Key    string    `json:"key"`
	State  string    `json:"state"`
	Stamp  time.Time `json:"received"`
	Until  time.Time `json:"until"`
	Status int       `json:"status,omitempty"`
	Bytes  int       `json:"bytes"`
	Error  string    `json:"error,omitempty"`
}

// eachRecord reads all records of a folder; those that can't be read are handed on with their error.
func eachRecord(s *store.Store, visit func(name string, e idempotency.Entry, size int, err error) error) error {
	return s.ForEach(idempotency.RecordPrefix, func(name, value []byte) error {
		e, err := idempotency.DecodeEntry(string(name), value)
		return visit(string(name), e, len(value), err)
	})
}

// onState is what a command does with a folder.
func onState(readOnly bool, do func(p printer, s *store.Store) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) (err error) {
		s, err := store.Open(store.Config{Dir: args[0], ReadOnly: readOnly})
		if err != nil {
			return inputError{err}
		}
		defer func() {
			if other := s.Close(); err == nil && other != nil {
				err = inputError{other}
			}
		}()
		return do(newPrinter(cmd), s)
	}
}

func stateInfoCommand() *cobra.Command {
	return &cobra.Command{Use: "info DIR", Short: "Say whose a folder is and how much it keeps",
		Long: "info says whose a folder is, since when, how many records it has by state, and how many ran out." + statuses,
		Args: cobra.ExactArgs(1), Example: "  cataloguectl state info /var/lib/tillerusher/state",
		RunE: onState(true, func(p printer, s *store.Store) error {
			id, now := s.Identity(), time.Now()
			states, over, unread, bytes := map[string]int{}, 0, 0, 0
			err := eachRecord(s, func(_ string, e idempotency.Entry, size int, err error) error {
				bytes += size
				switch {
				case err != nil:
					unread++
				case now.After(e.ExpiresAt):
					over++
				default:
					states[e.State.String()]++
				}
				return nil
			})
			if err != nil {
				return inputError{err}
			}
			p.line("the folder of %s, format version %d, made %s", id.Server, id.Version, id.CreatedAt.Format(time.RFC3339))
			p.line("site: %s", id.SiteHash)
			p.line("in their window: %d done, %d intents, %d whose answers were given up; %d ran out, %d can't be read; %d bytes of records, %d on the disk",
				states["done"], states["intent"], states["answer given up"], over, unread, bytes, s.Size())
			return p.object(struct {
				Server  string         `json:"server"`
				Version int            `json:"version"`
				Site    string         `json:"site"`
				Made    time.Time      `json:"made"`
				States  map[string]int `json:"states"`
				RanOut  int            `json:"ran_out"`
				Unread  int            `json:"unread"`
				Bytes   int            `json:"bytes"`
				Disk    int64          `json:"disk"`
			}{id.Server, id.Version, id.SiteHash, id.CreatedAt, states, over, unread, bytes, s.Size()})
		})}
}

func stateVerifyCommand() *cobra.Command {
	return &cobra.Command{Use: "verify DIR", Short: "Read everything in a folder and name what is damaged",
		Long: "verify reads every record with its checksum, and names those that can't be read: exit status 1 if there are any." + statuses,
		Args: cobra.ExactArgs(1),
		RunE: onState(true, func(p printer, s *store.Store) error {
			whole, bad := 0, []string{}
			err := eachRecord(s, func(_ string, _ idempotency.Entry, _ int, err error) error {
				if err != nil {
					bad = append(bad, err.Error())
				} else {
					whole++
				}
				return nil
			})
			if errors.Is(err, store.ErrCorrupt) {
				bad = append(bad, err.Error())
			} else if err != nil {
				return inputError{err}
			}
			for _, b := range bad {
				p.line("%s", b)
			}
			p.line("%d records are whole, %d are not", whole, len(bad))
			if err := p.object(struct {
				Whole int      `json:"whole"`
				Bad   []string `json:"bad"`
			}{whole, bad}); err != nil {
				return err
			}
			return found(len(bad) > 0)
		})}
}

func stateDumpCommand() *cobra.Command {
	return &cobra.Command{Use: "dump DIR", Short: "Print all records, one a line",
		Long: "dump prints the class, the key, the state, when the try that ran was received, until when it must not run again, and the\n" +
			"size of its answer, in the order of classes and keys." + statuses,
		Args: cobra.ExactArgs(1), Example: "  cataloguectl state dump /var/lib/tillerusher/state --json",
		RunE: onState(true, func(p printer, s *store.Store) error {
			err := eachRecord(s, func(name string, e idempotency.Entry, _ int, err error) error {
				k := kept{Class: e.Key.Class, Key: e.Key.Key, State: e.State.String(), Stamp: e.ReceivedAt.UTC(), Until: e.ExpiresAt.UTC(), Status: e.Response.Status,
					Bytes: len(e.Response.Body)}
				if err != nil {
					k = kept{Key: name, Error: err.Error()}
				}
				p.line("%s %s %s received %s, until %s, %d bytes %s", k.Class, k.Key, k.State, k.Stamp.Format(time.RFC3339Nano),
					k.Until.Format(time.RFC3339Nano), k.Bytes, k.Error)
				return p.object(k)
			})
			if err != nil {
				return inputError{err}
			}
			return nil
		})}
}

// removed writes the removal of records and waits for it.
func removed(s *store.Store, names []string) error {
	if len(names) == 0 {
		return nil
	}
	var changes []store.Change
	for _, name := range names {
		changes = append(changes, store.Change{Name: name})
	}
	done := make(chan error, 1)
	if err := s.Write(changes, func(err error) { done <- err }); err != nil {
		return inputError{err}
	}
	if err := <-done; err != nil {
		return inputError{err}
	}
	return nil
}

// stateRemove is a command that removes the records that a condition names, and rewrites the folder.
func stateRemove(use, short, long, word string, when func(e idempotency.Entry, err error, now time.Time) bool) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Long: long + statuses, Args: cobra.ExactArgs(1),
		RunE: onState(false, func(p printer, s *store.Store) error {
			var names []string
			now := time.Now()
			err := eachRecord(s, func(name string, e idempotency.Entry, _ int, err error) error {
				if when(e, err, now) {
					names = append(names, name)
					if err != nil {
						p.line("%v", err)
					}
				}
				return nil
			})
			if err != nil {
				return inputError{err}
			}
			if err := removed(s, names); err != nil {
				return err
			}
			if err := s.CompactAll(); err != nil {
				return inputError{err}
			}
			p.line("%d records %s", len(names), word)
			return p.object(struct {
				Removed int `json:"removed"`
			}{len(names)})
		})}
}

func stateRepairCommand() *cobra.Command {
	return stateRemove("repair DIR", "Remove records that can't be read", "repair removes the records that verify names. Repeats of their requests may "+
		"run again: that is why a server\nleaves them in place and says so, and does not do this by itself.", "that could not be read are removed",
		func(_ idempotency.Entry, err error, _ time.Time) bool { return err != nil })
}

func stateExpireCommand() *cobra.Command {
	return stateRemove("expire DIR", "Remove records whose window has passed", "expire removes what no repeat can ask for any more; a server does so by "+
		"itself, a second after it ran out.", "whose window has passed are removed",
		func(e idempotency.Entry, err error, now time.Time) bool { return err == nil && now.After(e.ExpiresAt) })
}
