package routeconfig

import (
	"fmt"
	"slices"
	"strings"

	"tillerusher/internal/pool"
	"tillerusher/internal/route"
)

// retryConditions are the conditions and their names in configurations, which are nginx's.
var retryConditions = []struct {
	name      string
	condition pool.RetryCondition
}{
	{"error", pool.ConnectionError},
	{"timeout", pool.Timeout},
	{"invalid_header", pool.InvalidHeader},
	{"http_500", pool.HTTP500},
	{"http_503", pool.HTTP503},
	{"http_403", pool.HTTP403},
	{"http_404", pool.HTTP404},
	{"http_429", pool.HTTP429},
	{"non_idempotent", pool.NonIdempotent},
}

// noRetryConditions is the name of the empty set of conditions.
const noRetryConditions = "off"

// ParseRetryCondition returns the condition with a name, or none for "off".
func ParseRetryCondition(name string) (pool.RetryCondition, error) {
	for _, c := range retryConditions {
		if c.name == name {
			return c.condition, nil
		}
	}
	if name == noRetryConditions {
		return 0, nil
	}
	return 0, fmt.Errorf("no condition is called %q", name)
}

// formatRetryConditions returns the names of a set of conditions.
func formatRetryConditions(set pool.RetryCondition) []string {
	var names []string
	for _, c := range retryConditions {
		if set&c.condition != 0 {
			names = append(names, c.name)
		}
	}
	if len(names) == 0 {
		return []string{noRetryConditions}
	}
	return names
}

// kindNames are the kinds of location in configurations.
var kindNames = []string{
	route.Prefix:          "prefix",
	route.PrefixNoRegex:   "prefix-only",
	route.Exact:           "exact",
	route.Regex:           "regex",
	route.RegexIgnoreCase: "regex-fold",
	route.Named:           "named",
}

// flagNames are the flags of rewrites in configurations, which are nginx's.
var flagNames = []string{
	route.FlagNone:      "onward",
	route.FlagLast:      "last",
	route.FlagBreak:     "break",
	route.FlagRedirect:  "redirect",
	route.FlagPermanent: "permanent",
}

// ParseRewriteFlag returns the flag with a name.
func ParseRewriteFlag(name string) (route.RewriteFlag, error) {
	if i := slices.Index(flagNames, name); i >= 0 {
		return route.RewriteFlag(i), nil
	}
	return 0, fmt.Errorf("no flag is called %q, want %s", name, strings.Join(flagNames, ", "))
}

// hashKeys are what of a request a pool may hash by, but for header fields.
var hashKeys = []string{HashByURI, HashByPath, HashByQuery, HashByHost, HashByClient}

// isHashKey reports whether a pool may hash by a key.
func isHashKey(key string) bool {
	return slices.Contains(hashKeys, key) || strings.HasPrefix(key, HashByHeaderPrefix)
}
