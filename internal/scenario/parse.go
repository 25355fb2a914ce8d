package scenario

import (
	"fmt"
	"os"
	"slices"
	"time"

	"tillerusher/internal/sexp"
)

// The limits of a scenario's file.
const (
	maxDuration = time.Hour
	maxServers  = 200
)

// The values of an incident that a file does not set.
const (
	defaultFactor           = 3
	defaultIncidentDuration = 2 * time.Second
)

// fieldParsers are the forms that a form may hold, by their first word.
type fieldParsers = map[string]func(sexp.Node) error

// Load reads a scenario's file.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("rehearsal: %w", err)
	}
	return Parse(path, text)
}

// Parse reads the text of a scenario. The file's name is for error messages.
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
		return nil, fmt.Errorf("%s: a scenario without (name ...)", file)
	}
	for _, incident := range scenario.Incidents {
		if incident.Server > scenario.Servers {
			return nil, fmt.Errorf("%s: an incident at server %d of %d", file, incident.Server, scenario.Servers)
		}
	}
	return &scenario, nil
}

// formParsers returns the parsers of the forms that a file may hold once.
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

// parseNetwork reads (network ...).
func (s *Scenario) parseNetwork(form sexp.Node) error {
	return sexp.ReadFields(form.Args(), fieldParsers{
		"delay":   sexp.Duration(&s.Network.Delay, 0, time.Second),
		"jitter":  sexp.Duration(&s.Network.Jitter, 0, time.Second),
		"partial": sexp.Number(&s.Network.PartialIO, 0, 1),
		"lost":    sexp.Number(&s.Network.DatagramLoss, 0, 1),
		"doubled": sexp.Number(&s.Network.DatagramDuplication, 0, 1),
	})
}

// parseExpect reads (expect ...).
func (s *Scenario) parseExpect(form sexp.Node) error {
	return sexp.ReadFields(form.Args(), fieldParsers{
		"share":     sexp.Number(&s.Expect.MinServedShare, 0, 1),
		"recovered": sexp.Duration(&s.Expect.MaxRecoveryTime, 0, maxDuration),
	})
}

// parseIncident reads (incident KIND ...).
func parseIncident(form sexp.Node) (Incident, error) {
	i := Incident{Factor: defaultFactor, Duration: defaultIncidentDuration}
	word, err := form.WordAt(1, "what happens, such as death")
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
