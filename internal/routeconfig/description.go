package routeconfig

import (
	"net/netip"
	"time"

	"tillerusher/internal/pool"
	"tillerusher/internal/route"
	"tillerusher/internal/sexp"
)

// Description is all that a server that routes is told.
type Description struct {
	Capacity int // requests that members may have at once: it takes the place of the interpreter's cores
	Classes  []Class
	Pools    []Pool
	Servers  []Server
}

// Class is a kind of request: what the decision module goes by.
type Class struct {
	Name     string
	Aim      time.Duration `json:"Aim"` // an answer within it is worth in full
	Deadline time.Duration // a caller waits no longer
	Effect   string        // one of the effects below
	Window   time.Duration `json:"Window"` // of a keyed one
	Worth    float64       `json:"Worth"`
	At       sexp.Pos      `json:"At"`
}

// The effects of a class. ByMethod takes reads (RFC 9110, section 9.2.1) as safe and all else as unsafe.
const (
	Safe     = "safe"
	Keyed    = "keyed"
	Unsafe   = "unsafe"
	ByMethod = "by-method"
)

// DefaultCapacity is the capacity where none is told.
const DefaultCapacity = 64

// Pool is a pool and how its members are spoken to.
type Pool struct {
	pool.Config
	HashKey   string         // for the hash methods: what of a request, as uri, path, query, host, client or header:NAME
	Protocol  string         // fastcgi or scgi
	Next      pool.Condition `json:"Next"`
	Keepalive int            `json:"Keepalive"` // idle connections that are kept
	Connect   time.Duration  `json:"Connect"`   // longest time to connect
	Read      time.Duration  `json:"Read"`      // longest time between two reads of an answer
	Send      time.Duration  `json:"Send"`      // longest time between two writes of a request
	Params    []Param        // further parameters for members
	At        sexp.Pos       `json:"At"`
}

// Param is a parameter that members get.
type Param struct{ Name, Value string }

// Server is one server.
type Server struct {
	Listen    []Listen
	Names     []string
	Merge     bool `json:"Merge"`
	Rewrites  []Rewrite
	Locations []*Location
	At        sexp.Pos `json:"At"`
}

// Listen is where a server is reached.
type Listen struct {
	Addr    netip.AddrPort
	Default bool
}

// Fallback is a named location that takes over for statuses: those of answers that no member made, and where the location
// intercepts them those of members' answers too.
type Fallback struct {
	Name string `json:"Name"`
	On   []int  `json:"On"`
	As   int    `json:"As"` // the status of the answer in the end: 0 is the fallback's own, Same the one that led to it
}

// Same has an answer keep the status that led to a fallback.
const Same = -1

// Rewrite changes paths, or sends callers elsewhere.
type Rewrite struct {
	Pattern string
	To      string `json:"To"`
	Flag    route.Flag
	At      sexp.Pos `json:"At"`
}

// Location is one location and what becomes of its requests: at most one of Pool and Status is set, none where only the
// locations in it count.
type Location struct {
	Kind      route.Kind
	Pattern   string
	Pool      string
	Class     string
	Status    int    `json:"Status"` // answered at once
	Text      string `json:"Text"`   // body, or the address of a redirect
	Fallbacks []Fallback
	Intercept bool `json:"Intercept"` // the statuses of members' own answers count for Fallbacks too
	Rewrites  []Rewrite
	Params    []Param
	Locations []*Location
	At        sexp.Pos `json:"At"`
}
