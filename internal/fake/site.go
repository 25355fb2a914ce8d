package fake

import (
	"net"
	"time"
)

// SiteSettings are the settings of a site with a safe class, a class with idempotency keys and two tenants.
const SiteSettings = `{"servers": 2, "tick-ns": 5000000,
 "lanes": [{"name": "part-lookup", "on-time-ns": 1400000000, "hard-limit-ns": 3700000000, "repeat": "retryable", "worth": 1},
  {"name": "stock-reserve", "on-time-ns": 2400000000, "hard-limit-ns": 6100000000, "late-worth": 0.2, "repeat": "dedup",
   "repeat-window-ns": 18354000000, "worth": 2}],
 "realms": [{"name": "central", "quota-per-s": 55}, {"name": "northern", "quota-per-s": 26}],
 "family-info": {"below": "none", "caller-idle-ns": 15000000000, "callers": 3, "cores": 2,
  "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"], "key-kb": 50, "memory-kb": 40000, "run-factor": 16,
  "say": "level", "stop-mode": "drop"},
 "limits": {"max-retry-after-ns": 1000000000, "retry-after": true},
 "obligations": {"cold-ns": 16000000000, "cold-share": 0.22, "drain-grace-ns": 300000000, "overload-factor": 8}}`

// The time limits of SiteSettings, for code that sends or checks requests.
const (
	LookupDeadline    = 3700 * time.Millisecond
	ReserveDeadline   = 6100 * time.Millisecond
	IdempotencyWindow = 18354 * time.Millisecond // a reserve must not run twice with the same key within it
)

// FreeAddr returns a loopback TCP address that nothing listens on.
func FreeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
