package routeconfig

import (
	"net/netip"
	"slices"
	"strings"

	"tillerusher/internal/route"
	"tillerusher/internal/sexp"
)

// parseServer parses (server FORM ...).
func parseServer(n sexp.Node) (server Server, err error) {
	server = Server{MergeSlashes: true, Pos: n.Pos}
	once := formParsers{
		"merge-slashes": parseYesNo(&server.MergeSlashes),
		"name":          parseNames(&server.Names),
	}
	repeated := formParsers{
		"rewrite": parseRewrite(&server.Rewrites),
		"listen": func(form sexp.Node) error {
			l, err := parseListen(form)
			server.Listen = append(server.Listen, l)
			return err
		},
		"location": parseNestedLocation(&server.Locations),
	}
	return server, sexp.ReadForms(n.Args(), once, repeated)
}

// parseNames returns a parser of (name NAME ...).
func parseNames(to *[]string) func(sexp.Node) error {
	return func(form sexp.Node) error {
		for _, arg := range form.Args() {
			if arg.Kind == sexp.List {
				return sexp.Errorf(arg.Pos, "found %v, want a server's name", arg)
			}
			*to = append(*to, arg.Text)
		}
		return nil
	}
}

// wordDefault is the keyword for the server that gets the requests for unknown host names.
const wordDefault = "default"

// parseListen parses (listen ADDRESS [default]).
func parseListen(n sexp.Node) (listen Listen, err error) {
	text, err := n.WordAt(1, "an address and a port")
	if err != nil {
		return listen, err
	}
	if listen.Addr, err = netip.ParseAddrPort(text); err != nil {
		return listen, sexp.Errorf(n.Pos, "found %s in (listen ...), want an IP address and a port", text)
	}
	rest := n.ItemsFrom(2)
	if len(rest) == 0 {
		return listen, nil
	}
	if len(rest) > 1 || rest[0].Text != wordDefault {
		return listen, sexp.Errorf(rest[0].Pos, "found %v, want default or nothing", rest[0])
	}
	listen.Default = true
	return listen, nil
}

// parseRewrite returns a parser of (rewrite REGEX REPLACEMENT [FLAG]).
func parseRewrite(to *[]Rewrite) func(sexp.Node) error {
	return func(form sexp.Node) (err error) {
		rewrite := Rewrite{Pos: form.Pos}
		if rewrite.Pattern, err = form.WordAt(1, "a regex"); err != nil {
			return err
		}
		if rewrite.Replacement, err = form.WordAt(2, "a replacement"); err != nil {
			return err
		}
		switch rest := form.ItemsFrom(3); {
		case len(rest) == 1 && rest[0].Kind == sexp.Atom:
			if rewrite.Flag, err = ParseRewriteFlag(rest[0].Text); err != nil {
				return sexp.Errorf(rest[0].Pos, "%v", err)
			}
		case len(rest) > 0:
			return sexp.Errorf(form.Pos, "want (rewrite REGEX TO) or (rewrite REGEX TO FLAG)")
		}
		*to = append(*to, rewrite)
		return nil
	}
}

// parseNestedLocation returns a parser of (location ...) in a server or in another location.
func parseNestedLocation(to *[]*Location) func(sexp.Node) error {
	return func(form sexp.Node) error {
		l, err := parseLocation(form)
		*to = append(*to, l)
		return err
	}
}

// parseLocation parses (location KIND PATTERN FORM ...).
func parseLocation(n sexp.Node) (*Location, error) {
	location := &Location{InterceptErrors: true, Pos: n.Pos}
	kind, err := n.WordAt(1, "a kind of location")
	if err != nil {
		return location, err
	}
	i := slices.Index(kindNames, kind)
	if i < 0 {
		return location, sexp.Errorf(n.Pos, "found %s in (location ...), want %s", kind, strings.Join(kindNames, ", "))
	}
	location.Kind = route.Kind(i)
	if location.Pattern, err = n.WordAt(2, "the location's pattern"); err != nil {
		return location, err
	}
	once := formParsers{
		"pool":      sexp.Text(&location.Pool),
		"class":     sexp.Text(&location.Class),
		"return":    func(form sexp.Node) error { return parseReturn(form, location) },
		"intercept": parseYesNo(&location.InterceptErrors),
	}
	repeated := formParsers{
		"fallback": parseFallback(&location.Fallbacks),
		"rewrite":  parseRewrite(&location.Rewrites),
		"param":    parseParam(&location.Params),
		"location": parseNestedLocation(&location.Locations),
	}
	if err := sexp.ReadForms(n.ItemsFrom(3), once, repeated); err != nil {
		return location, err
	}
	if location.Pool != "" && location.ReturnStatus != 0 {
		return location, sexp.Errorf(n.Pos, "location %s has both (pool ...) and (return ...), want at most one of them", location.Pattern)
	}
	return location, nil
}

// parseReturn parses (return STATUS [TEXT]).
func parseReturn(n sexp.Node, location *Location) error {
	word, err := n.WordAt(1, "a status")
	if err != nil {
		return err
	}
	status, ok := ParseStatus(word, MinStatus)
	if !ok {
		return sexp.Errorf(n.Pos, "found %s in (return ...), want a status of 100 to 599", word)
	}
	location.ReturnStatus = status
	switch rest := n.ItemsFrom(2); {
	case len(rest) == 1 && rest[0].Kind != sexp.List:
		location.ReturnText = rest[0].Text
	case len(rest) > 0:
		return sexp.Errorf(n.Pos, "want (return STATUS) or (return STATUS TEXT)")
	}
	return nil
}

// parseFallback returns a parser of (fallback NAME STATUS ... [(status own|same|N)]).
func parseFallback(fallbacks *[]Fallback) func(sexp.Node) error {
	return func(form sexp.Node) (err error) {
		fallback := Fallback{}
		if fallback.Location, err = form.WordAt(1, "the name of a location"); err != nil {
			return err
		}
		for _, arg := range form.ItemsFrom(2) {
			if arg.Kind == sexp.List && arg.Name() == "status" {
				if fallback.ResponseStatus, err = parseResponseStatus(arg); err != nil {
					return err
				}
				continue
			}
			status, ok := ParseStatus(arg.Text, MinFallbackStatus)
			if !ok || arg.Kind != sexp.Atom {
				return sexp.Errorf(arg.Pos, "found %v, want a status of 300 to 599", arg)
			}
			fallback.Statuses = append(fallback.Statuses, status)
		}
		if len(fallback.Statuses) == 0 {
			return sexp.Errorf(form.Pos, "(fallback %s) has no statuses, want at least one of 300 to 599", fallback.Location)
		}
		*fallbacks = append(*fallbacks, fallback)
		return nil
	}
}

// The keywords of (status ...) in a fallback.
const (
	wordOwnStatus  = "own"
	wordKeepStatus = "same"
)

// parseResponseStatus parses (status own|same|N).
func parseResponseStatus(n sexp.Node) (int, error) {
	word, err := n.WordAt(1, "own, same or a status")
	if err != nil {
		return 0, err
	}
	switch word {
	case wordOwnStatus:
		return OwnStatus, nil
	case wordKeepStatus:
		return KeepStatus, nil
	}
	status, ok := ParseStatus(word, MinStatus)
	if !ok {
		return 0, sexp.Errorf(n.Pos, "found %s in (status ...), want own, same or a status of 100 to 599", word)
	}
	return status, nil
}
