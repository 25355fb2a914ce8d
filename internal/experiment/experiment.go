package experiment

import (
	"os"
	"path/filepath"

	"tillerusher/internal/clustersim"
	"tillerusher/internal/sexp"
)

// Experiment is the content of an experiment file.
type Experiment struct {
	Name      string
	Config    clustersim.Config
	Workloads WorkloadRange // used in place of Config if its Count is not 0
	Policies  []string
	Seeds     uint64 // number of seeds at each point; the first seed is 1
	Sweep     Sweep

	configForm string // see ConfigForm
}

// WorkloadRange is a range of generated workloads. A workload is identified by its kind and its number.
type WorkloadRange struct {
	Kinds []clustersim.WorkloadKind
	Count int    // workloads of each kind
	From  uint64 // number of the first workload of each kind
}

// SweepMethod is the method by which the points of a sweep are chosen.
type SweepMethod string

// The sweep methods, with the words that experiment files use.
const (
	Grid           SweepMethod = "grid"
	RandomPoints   SweepMethod = "random"
	LatinHypercube SweepMethod = "latin"
)

// Sweep defines the points of an experiment: the variables, their ranges and the method that chooses values.
type Sweep struct {
	Method    SweepMethod
	Count     int    // number of points; ignored by a grid, which has one for each combination of steps
	Seed      uint64 // of the random points
	Variables []Variable
}

// Variable is a variable of a sweep with its range.
type Variable struct {
	Name     string
	Min, Max float64
	Steps    int       // number of values on a grid
	apply    applyFunc // sets the variable
}

// ConfigForm returns the source text of the (world ...) form, or "" if the file has none.
func (e *Experiment) ConfigForm() string { return e.configForm }

// Load reads an experiment from a file and the files that it includes.
func Load(path string) (*Experiment, error) {
	forms, err := sexp.ParseFiles(path, os.ReadFile, filepath.Glob)
	if err != nil {
		return nil, err
	}
	return readExperiment(path, forms)
}

// Parse reads an experiment from a text without includes. file is the file's name, for error messages and for the default
// name of the experiment.
func Parse(file string, text []byte) (*Experiment, error) {
	forms, err := sexp.Parse(file, text)
	if err != nil {
		return nil, err
	}
	return readExperiment(file, forms)
}
