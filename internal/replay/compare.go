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

// Change is a try that ends otherwise.
type Change struct {
	ID   admission.RequestID `json:"id"`
	Wire string              `json:"request_id,omitempty"`
	At   time.Duration       `json:"at"`
	From Ending              `json:"from"`
	To   Ending              `json:"to"`
}

// Comparison is what two modelled replays of one capture differ in.
type Comparison struct {
	Changes []Change `json:"changes"`
	Before  []Tally  `json:"before"`
	After   []Tally  `json:"after"`
}

// Compare sets two replays of the same tries side by side.
func Compare(before, after []*Outcome, m capture.Meta, classes []admission.Class) Comparison {
	c := Comparison{Changes: []Change{}, Before: Tallies(before, m, classes), After: Tallies(after, m, classes)}
	byID := make(map[admission.RequestID]*Outcome, len(after))
	for _, o := range after {
		byID[o.ID] = o
	}
	for _, o := range before {
		if n := byID[o.ID]; n != nil && n.Ending != o.Ending {
			c.Changes = append(c.Changes, Change{o.ID, o.Wire, o.Read, o.Ending, n.Ending})
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

// WriteOutcomes writes a modelled replay, so that another build can be compared with this one: JSON, one object a
// line.
func WriteOutcomes(w io.Writer, m capture.Meta, outcomes []*Outcome) error {
	buf := bufio.NewWriter(w)
	e := json.NewEncoder(buf)
	if err := e.Encode(header{m.Run, m.Module, outcomesVersion}); err != nil {
		return err
	}
	for _, o := range outcomes {
		if err := e.Encode(o); err != nil {
			return err
		}
	}
	return buf.Flush()
}

// ReadOutcomes reads what WriteOutcomes wrote of the same capture.
func ReadOutcomes(r io.Reader, m capture.Meta) ([]*Outcome, error) {
	d := json.NewDecoder(bufio.NewReader(r))
	var h header
	if err := d.Decode(&h); err != nil {
		return nil, fmt.Errorf("replay: no modelled replay: %w", err)
	}
	if h.Version != outcomesVersion {
		return nil, fmt.Errorf("replay: a modelled replay of version %d, want %d", h.Version, outcomesVersion)
	}
	if h.Run != m.Run || h.Module != m.Module {
		return nil, errors.New("replay: the modelled replay is of another capture")
	}
	var outcomes []*Outcome
	for {
		o := &Outcome{}
		switch err := d.Decode(o); {
		case err == io.EOF:
			return outcomes, nil
		case err != nil:
			return nil, fmt.Errorf("replay: line %d of the modelled replay: %w", len(outcomes)+2, err)
		}
		outcomes = append(outcomes, o)
	}
}
