package routeconfig

import (
	"net/netip"
	"time"

	"tillerusher/internal/pool"
	"tillerusher/internal/route"
	"tillerusher/internal/sexp"
)

// Config is all that a server that routes is told.
type Config struct {
	Capacity int // requests that members may have at once: it takes the place of the interpreter's cores
	Classes  []Class
	Pools    []Pool
	Servers  []Server
}

// Class is a kind of request: what the decision module goes by.
type Class struct {
	Name             string
	LatencyObjective time.Duration `json:"Aim"` // an answer within it is worth in full
	Deadline         time.Duration // a caller waits no longer
	Effect           string        // one of the effects below
	KeyWindow        time.Duration `json:"Window"` // of a keyed one
	Weight           float64       `json:"Worth"`
	Pos              sexp.Pos      `json:"At"`
}

// The effects of a class. EffectByMethod takes reads (RFC 9110, section 9.2.1) as safe and all else as unsafe.
const (
	EffectSafe            = "safe"
	EffectIdempotentByKey = "keyed"
	EffectNonIdempotent   = "unsafe"
	EffectByMethod        = "by-method"
)

// DefaultCapacity is the capacity where none is told.
const DefaultCapacity = 64

// Pool is a pool and how its members are spoken to.
type Pool struct {
	pool.Config
	HashKey        string              // for the hash methods: what of a request, as uri, path, query, host, client or header:NAME
	Protocol       string              // fastcgi or scgi
	RetryOn        pool.RetryCondition `json:"Next"`
	MaxIdleConns   int                 `json:"Keepalive"` // idle connections that are kept
	ConnectTimeout time.Duration       `json:"Connect"`   // longest time to connect
	ReadTimeout    time.Duration       `json:"Read"`      // longest time between two reads of an answer
	SendTimeout    time.Duration       `json:"Send"`      // longest time between two writes of a request
	Params         []Param             // further parameters for members
	Pos            sexp.Pos            `json:"At"`
}

// Param is a parameter that members get.
type Param struct{ Name, Value string }

// Server is one server.
type Server struct {
	Listen       []Listen
	Names        []string
	MergeSlashes bool `json:"Merge"`
	Rewrites     []Rewrite
	Locations    []*Location
	Pos          sexp.Pos `json:"At"`
}

// Listen is where a server is reached.
type Listen struct {
	Addr    netip.AddrPort
	Default bool
}

// Fallback is a named location that takes over for statuses: those of answers that no member made, and where the location
// intercepts them those of members' answers too.
type Fallback struct {
	Location       string `json:"Name"`
	Statuses       []int  `json:"On"`
	ResponseStatus int    `json:"As"` // the status of the answer in the end: 0 is the fallback's own, Same the one that led to it
}

// KeepStatus has an answer keep the status that led to a fallback.
const KeepStatus = -1

// Rewrite changes paths, or sends callers elsewhere.
type Rewrite struct {
	Pattern     string
	Replacement string `json:"To"`
	Flag        route.RewriteFlag
	Pos         sexp.Pos `json:"At"`
}

// Location is one location and what becomes of its requests: at most one of Pool and Status is set, none where only the
// locations in it count.
type Location struct {
	Kind            route.Kind
	Pattern         string
	Pool            string
	Class           string
	ReturnStatus    int    `json:"Status"` // answered at once
	ReturnText      string `json:"Text"`   // body, or the address of a redirect
	Fallbacks       []Fallback
	InterceptErrors bool `json:"Intercept"` // the statuses of members' own answers count for Fallbacks too
	Rewrites        []Rewrite
	Params          []Param
	Locations       []*Location
	Pos             sexp.Pos `json:"At"`
}
