package routeconfig

import (
	"os"
	"path/filepath"
	"strconv"
	"time"

	"tillerusher/internal/sexp"
)

// Load reads and parses a configuration file and the files that it includes. If the file at path can't be read, Load
// returns the error of os.ReadFile. Other errors have the file and the position, and are of type *sexp.Error, or
// *route.ConfigError if the routing table rejects a server, a location or a rewrite.
func Load(path string) (*Config, error) {
	forms, err := sexp.ParseFiles(path, os.ReadFile, filepath.Glob)
	if err != nil {
		return nil, err
	}
	return parseConfig(forms)
}

// Parse parses a configuration from a text, in which includes are not allowed. file is the name of the file in error
// messages. The types of errors are those of Load.
func Parse(file string, text []byte) (*Config, error) {
	forms, err := sexp.Parse(file, text)
	if err != nil {
		return nil, err
	}
	return parseConfig(forms)
}

// formParsers maps the name of each form that a list may contain to the function that parses the form.
type formParsers = map[string]func(form sexp.Node) error

// parseConfig parses the forms of a configuration and validates its references and patterns.
func parseConfig(forms []sexp.Node) (*Config, error) {
	config := &Config{Capacity: DefaultCapacity}
	once := formParsers{"capacity": sexp.Int(&config.Capacity, 1, 1e6)}
	repeated := formParsers{
		"class": func(form sexp.Node) error {
			class, err := parseClass(form)
			config.Classes = append(config.Classes, class)
			return err
		},
		"pool": func(form sexp.Node) error {
			pool, err := parsePool(form)
			config.Pools = append(config.Pools, pool)
			return err
		},
		"server": func(form sexp.Node) error {
			server, err := parseServer(form)
			config.Servers = append(config.Servers, server)
			return err
		},
	}
	if err := sexp.ReadForms(forms, once, repeated); err != nil {
		return nil, err
	}
	if err := config.validate(); err != nil {
		return nil, err
	}
	_, err := config.BuildTable()
	return config, err
}

// parseClass parses (class NAME FORM ...).
func parseClass(n sexp.Node) (class Class, err error) {
	class = Class{LatencyObjective: time.Second, Deadline: 5 * time.Second, Weight: 1, Pos: n.Pos}
	if class.Name, err = n.WordAt(1, "the name of a class"); err != nil {
		return class, err
	}
	effect := string(EffectSafe)
	err = sexp.ReadFields(n.ItemsFrom(2), formParsers{
		"aim":      sexp.Duration(&class.LatencyObjective, time.Millisecond, time.Hour),
		"deadline": sexp.Duration(&class.Deadline, time.Millisecond, time.Hour),
		"effect": sexp.OneOf(&effect, string(EffectSafe), string(EffectIdempotentByKey), string(EffectNonIdempotent),
			string(EffectByMethod)),
		"window": sexp.Duration(&class.KeyWindow, time.Millisecond, 24*time.Hour),
		"worth":  sexp.Number(&class.Weight, 0, 1e6),
	})
	class.Effect = Effect(effect)
	switch {
	case err != nil:
		return class, err
	case class.Deadline < class.LatencyObjective:
		return class, sexp.Errorf(n.Pos, "class %s: the deadline %v is shorter than the aim %v", class.Name, class.Deadline,
			class.LatencyObjective)
	case class.Effect == EffectIdempotentByKey && class.KeyWindow == 0:
		return class, sexp.Errorf(n.Pos, "class %s has (effect keyed) and no (window ...)", class.Name)
	}
	return class, nil
}

// parseParam returns a parser of (param NAME VALUE).
func parseParam(to *[]Param) func(sexp.Node) error {
	return func(form sexp.Node) error {
		args := form.Args()
		if len(args) != 2 || args[0].Kind == sexp.List || args[1].Kind == sexp.List {
			return sexp.Errorf(form.Pos, "want (param NAME VALUE)")
		}
		*to = append(*to, Param{args[0].Text, args[1].Text})
		return nil
	}
}

// The keywords for true and false.
const (
	wordYes = "yes"
	wordNo  = "no"
)

// parseYesNo returns a parser of (NAME yes) and (NAME no).
func parseYesNo(to *bool) func(sexp.Node) error {
	return func(form sexp.Node) error {
		var word string
		err := sexp.OneOf(&word, wordYes, wordNo)(form)
		*to = word == wordYes
		return err
	}
}

// parsePresence returns a parser of (NAME). The presence of the form sets the variable to true.
func parsePresence(to *bool) func(sexp.Node) error {
	return func(form sexp.Node) error {
		*to = true
		return form.RequireNoArgs()
	}
}

// MinStatus and maxStatus bound HTTP statuses. MinFallbackStatus is the lowest status that a fallback may handle.
const (
	MinStatus         = 100
	MinFallbackStatus = 300
	maxStatus         = 599
)

// ParseStatus parses an HTTP status. ok reports whether text is a number from minimum to maxStatus.
func ParseStatus(text string, minimum int) (status int, ok bool) {
	status, err := strconv.Atoi(text)
	return status, err == nil && status >= minimum && status <= maxStatus
}
