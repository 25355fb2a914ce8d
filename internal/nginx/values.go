package nginx

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// parseOnOff reads a directive's first argument, which must be on or off.
func (d *Directive) parseOnOff() (bool, error) {
	switch d.Arg(0) {
	case "on":
		return true, nil
	case "off":
		return false, nil
	}
	return false, d.errorf("found %q in %s, want on or off", d.Arg(0), d.Name)
}

// parseCount reads a directive's first argument, which must be an integer of 0 or more.
func (d *Directive) parseCount() (int, error) {
	n, err := strconv.Atoi(d.Arg(0))
	if err != nil || n < 0 {
		return 0, d.errorf("found %q in %s, want an integer of 0 or more", d.Arg(0), d.Name)
	}
	return n, nil
}

// parseDuration reads a directive's first argument, which must be a time in nginx's format.
func (d *Directive) parseDuration() (time.Duration, error) {
	t, err := ParseDuration(d.Arg(0))
	if err != nil {
		return 0, d.errorf("found %q in %s, want a time such as 250ms or 1m30s", d.Arg(0), d.Name)
	}
	return t, nil
}

// durationUnits are nginx's units of time. "ms" precedes "m" because cutUnit returns the first unit that matches.
var durationUnits = []struct {
	name string
	unit time.Duration
}{
	{"ms", time.Millisecond},
	{"s", time.Second},
	{"m", time.Minute},
	{"h", time.Hour},
	{"d", 24 * time.Hour},
	{"w", 7 * 24 * time.Hour},
	{"M", 30 * 24 * time.Hour},
	{"y", 365 * 24 * time.Hour},
}

// ParseDuration parses a time in nginx's format: a sequence of integers, each followed by a unit (ms, s, m, h, d, w, M
// or y). A last integer without a unit is in seconds.
func ParseDuration(text string) (time.Duration, error) {
	if text == "" {
		return 0, errors.New("empty time, want a number with a unit, such as 250ms")
	}
	total := time.Duration(0)
	for rest := text; rest != ""; {
		digits := len(rest) - len(strings.TrimLeft(rest, "0123456789"))
		n, err := strconv.ParseInt(rest[:digits], 10, 32)
		if err != nil {
			return 0, err
		}
		rest = rest[digits:]
		if rest == "" {
			return total + time.Duration(n)*time.Second, nil
		}
		name, unit := cutUnit(rest)
		if unit == 0 {
			return 0, fmt.Errorf("unknown unit %q, want ms, s, m, h, d, w, M or y", rest)
		}
		total += time.Duration(n) * unit
		rest = strings.TrimPrefix(rest[len(name):], " ")
	}
	return total, nil
}

// cutUnit returns the unit with which text begins, or "" and 0.
func cutUnit(text string) (name string, unit time.Duration) {
	for _, u := range durationUnits {
		if strings.HasPrefix(text, u.name) {
			return u.name, u.unit
		}
	}
	return "", 0
}
