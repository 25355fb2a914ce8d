package routeconfig

import (
	"fmt"
	"slices"
	"strings"

	"tillerusher/internal/pool"
	"tillerusher/internal/route"
)

// retryConditions lists the retry conditions with their names in configurations, which are the names that nginx uses.
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

// noRetryConditions is the name of the empty set of retry conditions in configurations.
const noRetryConditions = "off"

// ParseRetryCondition returns the retry condition with a name, or 0 for "off". It returns an error for an unknown name.
func ParseRetryCondition(name string) (pool.RetryCondition, error) {
	for _, c := range retryConditions {
		if c.name == name {
			return c.condition, nil
		}
	}
	if name == noRetryConditions {
		return 0, nil
	}
	return 0, fmt.Errorf("unknown retry condition %q", name)
}

// formatRetryConditions returns the names of a set of retry conditions, which is "off" for the empty set.
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

// kindNames are the names of the kinds of locations in configurations.
var kindNames = []string{
	route.Prefix:          "prefix",
	route.PrefixNoRegex:   "prefix-only",
	route.Exact:           "exact",
	route.Regex:           "regex",
	route.RegexIgnoreCase: "regex-fold",
	route.Named:           "named",
}

// flagNames are the names of rewrite flags in configurations. All but "onward" are the names that nginx uses.
var flagNames = []string{
	route.FlagNone:      "onward",
	route.FlagLast:      "last",
	route.FlagBreak:     "break",
	route.FlagRedirect:  "redirect",
	route.FlagPermanent: "permanent",
}

// ParseRewriteFlag returns the rewrite flag with a name. It returns an error for an unknown name.
func ParseRewriteFlag(name string) (route.RewriteFlag, error) {
	if i := slices.Index(flagNames, name); i >= 0 {
		return route.RewriteFlag(i), nil
	}
	return 0, fmt.Errorf("unknown rewrite flag %q, want %s", name, strings.Join(flagNames, ", "))
}

// hashKeys are the valid hash keys of pools, except those for header fields.
var hashKeys = []string{HashByURI, HashByPath, HashByQuery, HashByHost, HashByClient}

// isHashKey reports whether a key is a valid hash key of a pool.
func isHashKey(key string) bool {
	return slices.Contains(hashKeys, key) || strings.HasPrefix(key, HashByHeaderPrefix)
}
