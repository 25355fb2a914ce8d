package experiment

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
)

// Row is one line of a results file: a run with its measures, or with the error that prevented it.
type Row struct {
	Index      int                `json:"run"` // index in the plan
	Point      int                `json:"point"`
	Values     map[string]float64 `json:"values,omitempty"`
	Workload   string             `json:"day,omitempty"`
	Policy     string             `json:"policy"`
	Seed       uint64             `json:"seed"`
	Error      string             `json:"error,omitempty"`
	Measures   map[string]float64 `json:"measures,omitempty"`
	Violations map[string]int     `json:"broken,omitempty"` // number of violations by rule
}

// header is the first line of a results file.
type header struct {
	Experiment string `json:"experiment"`
	Plan       string `json:"plan"` // checksum of the plan
	Runs       int    `json:"runs"` // number of runs in the plan
}

// Results is the content of a results file.
type Results struct {
	Experiment  string
	PlannedRuns int
	Rows        []Row
}

// ErrPlanMismatch is returned if a results file belongs to another plan.
var ErrPlanMismatch = errors.New("experiment: the results are of another plan")

// resultsMode is the permission bits of a new results file.
const resultsMode = 0o644

// openResults opens or creates a results file, removes an incomplete last line, and returns the file, positioned at its
// end, and the number of its rows. It returns an error that wraps ErrPlanMismatch if the file belongs to another plan.
func openResults(experiment *Experiment, jobs []Job, path string) (file *os.File, rows int, err error) {
	checksum, err := planChecksum(jobs)
	if err != nil {
		return nil, 0, err
	}
	firstLine, err := json.Marshal(header{experiment.Name, checksum, len(jobs)})
	if err != nil {
		return nil, 0, fmt.Errorf("experiment: %w", err)
	}
	file, err = os.OpenFile(path, os.O_RDWR|os.O_CREATE, resultsMode)
	if err != nil {
		return nil, 0, fmt.Errorf("experiment: %w", err)
	}
	rows, err = prepareResults(file, append(firstLine, '\n'))
	switch {
	case errors.Is(err, ErrPlanMismatch):
		err = fmt.Errorf("%s: %w", path, err)
	case err != nil:
		err = fmt.Errorf("experiment: %w", err)
	}
	if err != nil {
		file.Close()
		return nil, 0, err
	}
	return file, rows, nil
}

// prepareResults checks the first line of a results file, or writes it if the file has no complete line. It then truncates
// the file after its last complete line, moves to the end and returns the number of rows.
func prepareResults(file *os.File, firstLine []byte) (rows int, err error) {
	text, err := io.ReadAll(file)
	if err != nil {
		return 0, err
	}
	whole := text[:bytes.LastIndexByte(text, '\n')+1]
	switch {
	case len(whole) == 0:
		whole = firstLine
		if _, err := file.WriteAt(firstLine, 0); err != nil {
			return 0, err
		}
	case !bytes.HasPrefix(whole, firstLine):
		return 0, ErrPlanMismatch
	default:
		rows = bytes.Count(whole, []byte{'\n'}) - 1
	}
	if err := file.Truncate(int64(len(whole))); err != nil {
		return 0, err
	}
	_, err = file.Seek(0, io.SeekEnd)
	return rows, err
}

// ReadResults reads a results file. It ignores an incomplete last line.
func ReadResults(path string) (*Results, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	defer file.Close()
	return parseResults(path, file)
}

// parseResults reads the lines of a results file. path is used in error messages.
func parseResults(path string, from io.Reader) (*Results, error) {
	reader := bufio.NewReader(from)
	results := &Results{}
	for number := 1; ; number++ {
		line, err := reader.ReadBytes('\n')
		if err == io.EOF {
			if number == 1 {
				return nil, fmt.Errorf("%s:1: found no complete line, want the results of an experiment", path)
			}
			return results, nil
		}
		if err != nil {
			return nil, fmt.Errorf("experiment: %w", err)
		}
		if number == 1 {
			err = results.parseHeader(path, line)
		} else {
			err = results.parseRow(path, number, line)
		}
		if err != nil {
			return nil, err
		}
	}
}

// parseHeader parses the first line.
func (r *Results) parseHeader(path string, line []byte) error {
	var h header
	if json.Unmarshal(line, &h) != nil || h.Plan == "" {
		return fmt.Errorf("%s:1: found %.40q, want the first line of an experiment's results", path, bytes.TrimSpace(line))
	}
	r.Experiment = h.Experiment
	r.PlannedRuns = h.Runs
	return nil
}

// parseRow parses a line after the first and appends its row. number is the line's number, counted from 1.
func (r *Results) parseRow(path string, number int, line []byte) error {
	var row Row
	if err := json.Unmarshal(line, &row); err != nil {
		return fmt.Errorf("%s:%d: found %.40q, want a run: %w", path, number, bytes.TrimSpace(line), err)
	}
	r.Rows = append(r.Rows, row)
	return nil
}
