package nginx

import (
	"time"

	"tillerusher/internal/routeconfig"
)

// className is the class of all imported locations. nginx has no classes; operators define better ones afterwards.
const className = "imported"

// Import turns directives into a configuration, with a diagnostic for all that is not imported. The error, a *sexp.Error,
// is for directives that can't be read at all.
func Import(directives []*Directive) (*routeconfig.Config, []Diagnostic, error) {
	im := newImporter()
	if err := im.importHTTP(im.findHTTP(directives)); err != nil {
		return nil, im.diagnostics, err
	}
	return im.config, im.diagnostics, nil
}

// importer is an import under way.
type importer struct {
	config      *routeconfig.Config
	diagnostics []Diagnostic
	upstreams   map[string]*upstreamBlock
	poolNames   map[poolKey]string // of the pools so far
	usedNames   map[string]bool    // values of poolNames
	passedTo    map[*routeconfig.Location]namedTarget
}

// newImporter returns an importer with a configuration that has only the class.
func newImporter() *importer {
	return &importer{
		config: &routeconfig.Config{
			Capacity: routeconfig.DefaultCapacity,
			Classes: []routeconfig.Class{{
				Name:             className,
				LatencyObjective: time.Second,
				Deadline:         time.Minute,
				Effect:           routeconfig.EffectByMethod,
				Weight:           1,
			}},
		},
		upstreams: map[string]*upstreamBlock{},
		poolNames: map[poolKey]string{},
		usedNames: map[string]bool{},
		passedTo:  map[*routeconfig.Location]namedTarget{},
	}
}

// findHTTP returns the directives of the http block and reports all others, or returns all directives if there is no such
// block: files of conf.d have only its contents.
func (im *importer) findHTTP(directives []*Directive) []*Directive {
	for _, directive := range directives {
		if directive.Name != "http" {
			continue
		}
		for _, other := range directives {
			if other != directive {
				im.reportUnsupported(other)
			}
		}
		return directive.Block
	}
	return directives
}

// importHTTP imports the contents of the http block. Upstreams come first: servers may stand before them.
func (im *importer) importHTTP(directives []*Directive) error {
	for _, directive := range directives {
		if directive.Name == "upstream" {
			if err := im.importUpstream(directive); err != nil {
				return err
			}
		}
	}
	settings, err := im.inherit(defaultSettings(), directives)
	if err != nil {
		return err
	}
	for _, directive := range directives {
		switch {
		case directive.Name == "server":
			if err := im.importServer(directive, settings); err != nil {
				return err
			}
		case directive.Name != "upstream" && !isInherited(directive.Name):
			im.reportUnsupported(directive)
		}
	}
	return nil
}
