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

// StatusChange is an attempt whose end status differs between two simulations.
type StatusChange struct {
	ID     admission.RequestID `json:"id"`
	WireID string              `json:"request_id,omitempty"`
	At     time.Duration       `json:"at"`
	From   EndStatus           `json:"from"`
	To     EndStatus           `json:"to"`
}

// Comparison is the difference between two simulations of one capture.
type Comparison struct {
	Changes []StatusChange `json:"changes"`
	Before  []Summary      `json:"before"`
	After   []Summary      `json:"after"`
}

// Compare compares two simulations of the same attempts. Its Changes omit attempts that only one simulation has.
func Compare(before, after []*Attempt, meta capture.Meta, classes []admission.Class) Comparison {
	comparison := Comparison{
		Changes: []StatusChange{}, // not nil, so that JSON has [] instead of null
		Before:  Summarize(before, meta, classes),
		After:   Summarize(after, meta, classes),
	}
	byID := make(map[admission.RequestID]*Attempt, len(after))
	for _, a := range after {
		byID[a.ID] = a
	}
	for _, old := range before {
		if a := byID[old.ID]; a != nil && a.Status != old.Status {
			comparison.Changes = append(comparison.Changes, StatusChange{old.ID, old.WireID, old.ReadAt, old.Status, a.Status})
		}
	}
	return comparison
}

// attemptsHeader is the first line of a simulation file. It identifies the capture.
type attemptsHeader struct {
	Run        string        `json:"run"`
	ModuleTime time.Duration `json:"module"`
	Version    int           `json:"version"`
}

const attemptsVersion = 1

// WriteAttempts writes the attempts of a simulation as JSON, one object per line, so that the simulation of another build can
// be compared with them.
func WriteAttempts(writer io.Writer, meta capture.Meta, attempts []*Attempt) error {
	buf := bufio.NewWriter(writer)
	encoder := json.NewEncoder(buf)
	if err := encoder.Encode(attemptsHeader{meta.Run, meta.ModuleTime, attemptsVersion}); err != nil {
		return err
	}
	for _, a := range attempts {
		if err := encoder.Encode(a); err != nil {
			return err
		}
	}
	return buf.Flush()
}

// ReadAttempts reads the attempts that WriteAttempts wrote. It returns an error if they have another version or belong to a
// capture other than that of the meta.
func ReadAttempts(reader io.Reader, meta capture.Meta) ([]*Attempt, error) {
	decoder := json.NewDecoder(bufio.NewReader(reader))
	var header attemptsHeader
	if err := decoder.Decode(&header); err != nil {
		return nil, fmt.Errorf("replay: header of the simulation file: %w", err)
	}
	if header.Version != attemptsVersion {
		return nil, fmt.Errorf("replay: simulation file has version %d, want %d", header.Version, attemptsVersion)
	}
	if header.Run != meta.Run || header.ModuleTime != meta.ModuleTime {
		return nil, errors.New("replay: simulation file belongs to another capture")
	}
	var attempts []*Attempt
	for {
		a := &Attempt{}
		err := decoder.Decode(a)
		if errors.Is(err, io.EOF) {
			return attempts, nil
		}
		if err != nil {
			line := len(attempts) + 2
			return nil, fmt.Errorf("replay: line %d of the simulation file: %w", line, err)
		}
		attempts = append(attempts, a)
	}
}
