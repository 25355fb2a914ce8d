package nginx

import (
	"time"

	"tillerusher/internal/routeconfig"
)

// className is the class of all imported locations. nginx has no classes; operators define suitable ones after the
// import.
const className = "imported"

// Import converts directives into a route configuration. It returns a diagnostic for each directive that is not
// imported, or is imported with a change. For an invalid directive it returns an error of type *sexp.Error.
func Import(directives []*Directive) (*routeconfig.Config, []Diagnostic, error) {
	im := newImporter()
	if err := im.importHTTP(im.findHTTP(directives)); err != nil {
		return nil, im.diagnostics, err
	}
	return im.config, im.diagnostics, nil
}

// importer holds the state of one import.
type importer struct {
	config       *routeconfig.Config
	diagnostics  []Diagnostic
	upstreams    map[string]*upstreamBlock
	poolNames    map[poolKey]string                    // of the pools added so far
	usedNames    map[string]bool                       // the values of poolNames
	namedTargets map[*routeconfig.Location]namedTarget // by the location with the try_files
}

// newImporter returns an importer whose configuration has the class className and nothing else.
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
		upstreams:    map[string]*upstreamBlock{},
		poolNames:    map[poolKey]string{},
		usedNames:    map[string]bool{},
		namedTargets: map[*routeconfig.Location]namedTarget{},
	}
}

// findHTTP returns the directives of the first http block and reports all directives outside it. Without an http block
// it returns all directives, because the files in conf.d hold only the contents of the block.
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

// importHTTP imports the contents of the http block. It imports the upstreams first, because a server may precede the
// upstreams that it uses.
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
