package scenario

import (
	"fmt"
	"os"
	"slices"
	"time"

	"tillerusher/internal/sexp"
)

// The maximum values in a scenario file.
const (
	maxDuration = time.Hour
	maxServers  = 200
)

// The values that an incident has if the file does not set them.
const (
	defaultFactor           = 3
	defaultIncidentDuration = 2 * time.Second
)

// fieldParsers are the parsers of the forms that a file or a form may contain, by the form's first word.
type fieldParsers = map[string]func(sexp.Node) error

// Load reads and parses a scenario file.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return Parse(path, text)
}

// Parse parses the text of a scenario file. The name of the file is only used in error messages.
func Parse(file string, text []byte) (*Scenario, error) {
	forms, err := sexp.Parse(file, text)
	if err != nil {
		return nil, err
	}
	scenario := Defaults()
	repeated := fieldParsers{"incident": func(form sexp.Node) error {
		incident, err := parseIncident(form)
		scenario.Incidents = append(scenario.Incidents, incident)
		return err
	}}
	if err := sexp.ReadForms(forms, scenario.formParsers(), repeated); err != nil {
		return nil, err
	}
	if scenario.Name == "" {
		return nil, fmt.Errorf("%s: the scenario has no (name ...)", file)
	}
	for _, incident := range scenario.Incidents {
		if incident.Server > scenario.Servers {
			return nil, fmt.Errorf("%s: an incident has server %d, want at most %d, the number of servers", file, incident.Server, scenario.Servers)
		}
	}
	return &scenario, nil
}

// formParsers returns the parsers of the forms that a file may contain at most once.
func (s *Scenario) formParsers() fieldParsers {
	return fieldParsers{
		"name":     sexp.Text(&s.Name),
		"teaches":  sexp.Text(&s.Purpose),
		"length":   sexp.Duration(&s.Duration, time.Second, maxDuration),
		"calm":     sexp.Duration(&s.Cooldown, time.Second, maxDuration),
		"servers":  sexp.Int(&s.Servers, 1, maxServers),
		"cores":    sexp.Int(&s.Cores, 1, 64),
		"work":     sexp.Duration(&s.MeanRunTime, 10*time.Microsecond, time.Minute),
		"rate":     sexp.Number(&s.Rate, 0.1, 1e6),
		"keyed":    sexp.Number(&s.IdempotentShare, 0, 1),
		"gateways": sexp.Int(&s.Gateways, 1, 100),
		"tries":    sexp.Int(&s.MaxAttempts, 1, 20),
		"heeds":    sexp.Number(&s.RetryAfterShare, 0, 1),
		"pause":    sexp.Duration(&s.RetryDelay, time.Millisecond, time.Minute),
		"repeats":  sexp.Number(&s.DuplicateShare, 0, 1),
		"hedges":   sexp.Number(&s.HedgeShare, 0, 1),
		"aborts":   sexp.Number(&s.AbortShare, 0, 1),
		"files":    sexp.Int(&s.MaxOpenFiles, 64, 100_000),
		"network":  s.parseNetwork,
		"expect":   s.parseExpect,
	}
}

// parseNetwork parses (network ...).
func (s *Scenario) parseNetwork(form sexp.Node) error {
	return sexp.ReadFields(form.Args(), fieldParsers{
		"delay":   sexp.Duration(&s.Network.Delay, 0, time.Second),
		"jitter":  sexp.Duration(&s.Network.Jitter, 0, time.Second),
		"partial": sexp.Number(&s.Network.PartialIO, 0, 1),
		"lost":    sexp.Number(&s.Network.DatagramLoss, 0, 1),
		"doubled": sexp.Number(&s.Network.DatagramDuplication, 0, 1),
	})
}

// parseExpect parses (expect ...).
func (s *Scenario) parseExpect(form sexp.Node) error {
	return sexp.ReadFields(form.Args(), fieldParsers{
		"share":     sexp.Number(&s.Expect.MinServedShare, 0, 1),
		"recovered": sexp.Duration(&s.Expect.MaxRecoveryTime, 0, maxDuration),
	})
}

// parseIncident parses (incident KIND ...).
func parseIncident(form sexp.Node) (Incident, error) {
	i := Incident{Factor: defaultFactor, Duration: defaultIncidentDuration}
	word, err := form.WordAt(1, "the kind of the incident, such as death")
	if err != nil {
		return i, err
	}
	i.Kind = IncidentKind(word)
	if !slices.Contains(incidentKinds, i.Kind) {
		return i, sexp.Errorf(form.Items[1].Pos, "found %s, want %s", word, kindList())
	}
	err = sexp.ReadFields(form.ItemsFrom(2), fieldParsers{
		"at":     sexp.Duration(&i.At, 0, maxDuration),
		"for":    sexp.Duration(&i.Duration, 0, maxDuration),
		"server": sexp.Int(&i.Server, 1, maxServers),
		"times":  sexp.Number(&i.Factor, 0.01, 1000),
		"apart":  sexp.Duration(&i.Stagger, 0, maxDuration),
	})
	return i, err
}
