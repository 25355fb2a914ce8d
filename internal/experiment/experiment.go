package experiment

import (
	"os"
	"path/filepath"

	"tillerusher/internal/clustersim"
	"tillerusher/internal/sexp"
)

// Experiment is the content of an experiment's file.
type Experiment struct {
	Name      string
	Config    clustersim.Config
	Workloads WorkloadRange // used in place of Config if its Count is not 0
	Policies  []string
	Seeds     uint64 // number of seeds at each point; they count from 1
	Sweep     Sweep

	configForm string
}

// WorkloadRange is a range of generated workloads.
type WorkloadRange struct {
	Kinds []clustersim.WorkloadKind
	Count int    // of each kind
	From  uint64 // number of the first
}

// SweepMethod is how the points of a sweep are chosen.
type SweepMethod string

// The sweep methods, by the words that files use.
const (
	Grid           SweepMethod = "grid"
	RandomPoints   SweepMethod = "random"
	LatinHypercube SweepMethod = "latin"
)

// Sweep says what is varied.
type Sweep struct {
	Method    SweepMethod
	Count     int // of points; a grid has its own
	Seed      uint64
	Variables []Variable
}

// Variable is a variable of a sweep with its range.
type Variable struct {
	Name     string
	Min, Max float64
	Steps    int // on a grid
	apply    applyFunc
}

// ConfigForm returns the text of the form that describes the configuration, or "" if the file has none.
func (e *Experiment) ConfigForm() string { return e.configForm }

// Load reads an experiment from a file and all that the file includes.
func Load(path string) (*Experiment, error) {
	forms, err := sexp.ParseFiles(path, os.ReadFile, filepath.Glob)
	if err != nil {
		return nil, err
	}
	return readExperiment(path, forms)
}

// Parse reads an experiment from a text without includes. The file's name is used for errors and as the default name.
func Parse(file string, text []byte) (*Experiment, error) {
	forms, err := sexp.Parse(file, text)
	if err != nil {
		return nil, err
	}
	return readExperiment(file, forms)
}
