package replay

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/capture"
)

// StatusChange is a try that ends otherwise.
type StatusChange struct {
	ID     admission.RequestID `json:"id"`
	WireID string              `json:"request_id,omitempty"`
	At     time.Duration       `json:"at"`
	From   EndStatus           `json:"from"`
	To     EndStatus           `json:"to"`
}

// Comparison is what two modelled replays of one capture differ in.
type Comparison struct {
	Changes []StatusChange `json:"changes"`
	Before  []Summary      `json:"before"`
	After   []Summary      `json:"after"`
}

// Compare sets two replays of the same tries side by side.
func Compare(before, after []*Attempt, m capture.Meta, classes []admission.Class) Comparison {
	c := Comparison{Changes: []StatusChange{}, Before: Summarize(before, m, classes), After: Summarize(after, m, classes)}
	byID := make(map[admission.RequestID]*Attempt, len(after))
	for _, o := range after {
		byID[o.ID] = o
	}
	for _, o := range before {
		if n := byID[o.ID]; n != nil && n.Status != o.Status {
			c.Changes = append(c.Changes, StatusChange{o.ID, o.WireID, o.ReadAt, o.Status, n.Status})
		}
	}
	return c
}

// header begins the file of a modelled replay.
type header struct {
	Run     string        `json:"run"`
	Module  time.Duration `json:"module"`
	Version int           `json:"version"`
}

const outcomesVersion = 1

// WriteAttempts writes a modelled replay, so that another build can be compared with this one: JSON, one object a
// line.
func WriteAttempts(w io.Writer, m capture.Meta, outcomes []*Attempt) error {
	buf := bufio.NewWriter(w)
	e := json.NewEncoder(buf)
	if err := e.Encode(header{m.Run, m.ModuleTime, outcomesVersion}); err != nil {
		return err
	}
	for _, o := range outcomes {
		if err := e.Encode(o); err != nil {
			return err
		}
	}
	return buf.Flush()
}

// ReadAttempts reads what WriteAttempts wrote of the same capture.
func ReadAttempts(r io.Reader, m capture.Meta) ([]*Attempt, error) {
	d := json.NewDecoder(bufio.NewReader(r))
	var h header
	if err := d.Decode(&h); err != nil {
		return nil, fmt.Errorf("replay: no modelled replay: %w", err)
	}
	if h.Version != outcomesVersion {
		return nil, fmt.Errorf("replay: a modelled replay of version %d, want %d", h.Version, outcomesVersion)
	}
	if h.Run != m.Run || h.Module != m.ModuleTime {
		return nil, errors.New("replay: the modelled replay is of another capture")
	}
	var outcomes []*Attempt
	for {
		o := &Attempt{}
		switch err := d.Decode(o); {
		case err == io.EOF:
			return outcomes, nil
		case err != nil:
			return nil, fmt.Errorf("replay: line %d of the modelled replay: %w", len(outcomes)+2, err)
		}
		outcomes = append(outcomes, o)
	}
}
