package routeconfig

import (
	"net/netip"
	"time"

	"tillerusher/internal/pool"
	"tillerusher/internal/route"
	"tillerusher/internal/sexp"
)

// Config is the whole configuration of a router.
type Config struct {
	Capacity int // requests that members may have in flight; it takes the place of the interpreter's cores
	Classes  []Class
	Pools    []Pool
	Servers  []Server
}

// DefaultCapacity is the capacity if none is configured.
const DefaultCapacity = 64

// Class is a kind of request, by which the admission module decides.
type Class struct {
	Name             string
	LatencyObjective time.Duration // an answer within it has the full weight
	Deadline         time.Duration // no caller waits longer
	Effect           Effect
	KeyWindow        time.Duration // how long the keys of an idempotent-by-key class are kept
	Weight           float64
	Pos              sexp.Pos
}

// Effect says whether a request may run twice. Its values are the words of the configuration.
type Effect string

// The effects.
const (
	EffectSafe            Effect = "safe"
	EffectIdempotentByKey Effect = "keyed"
	EffectNonIdempotent   Effect = "unsafe"
	EffectByMethod        Effect = "by-method" // as EffectSafe for safe methods (RFC 9110, 9.2.1), else non-idempotent
)

// Pool is an upstream pool and how its members are spoken to.
type Pool struct {
	pool.Config
	HashKey        string // a HashBy constant, or HashByHeaderPrefix and a name; empty unless the policy needs a key
	Protocol       string // ProtocolFastCGI or ProtocolSCGI
	RetryOn        pool.RetryCondition
	MaxIdleConns   int
	ConnectTimeout time.Duration
	ReadTimeout    time.Duration // between two reads of an answer
	SendTimeout    time.Duration // between two writes of a request
	Params         []Param       // parameters that members get with each request
	Pos            sexp.Pos
}

// The protocols of members.
const (
	ProtocolFastCGI = "fastcgi"
	ProtocolSCGI    = "scgi"
)

// What of a request a pool hashes by.
const (
	HashByURI          = "uri"
	HashByPath         = "path"
	HashByQuery        = "query"
	HashByHost         = "host"
	HashByClient       = "client"
	HashByHeaderPrefix = "header:" // a field's name follows
)

// Param is a parameter that members get with each request.
type Param struct{ Name, Value string }

// Server is a virtual server.
type Server struct {
	Listen       []Listen
	Names        []string
	MergeSlashes bool
	Rewrites     []Rewrite
	Locations    []*Location
	Pos          sexp.Pos
}

// Listen is an address of a server.
type Listen struct {
	Addr    netip.AddrPort
	Default bool // the server takes requests for names that no server at this address has
}

// Location is a location and what becomes of its requests. At most one of Pool and ReturnStatus is set, and neither if
// only the nested locations count.
type Location struct {
	Kind            route.Kind
	Pattern         string
	Pool            string
	Class           string
	ReturnStatus    int    // of an answer without a member
	ReturnText      string // its body, or the URL of a redirect
	Fallbacks       []Fallback
	InterceptErrors bool // Fallbacks count for the statuses of members' answers, too
	Rewrites        []Rewrite
	Params          []Param
	Locations       []*Location
	Pos             sexp.Pos
}

// Rewrite changes paths or redirects clients.
type Rewrite struct {
	Pattern     string
	Replacement string
	Flag        route.RewriteFlag
	Pos         sexp.Pos
}

// Fallback is a named location that takes over for statuses: of answers that no member made, and if the location
// intercepts errors, of members' answers.
type Fallback struct {
	Location       string // its name
	Statuses       []int
	ResponseStatus int // OwnStatus, KeepStatus or a status
}

// The values of Fallback.ResponseStatus that are no status.
const (
	OwnStatus  = 0  // the answer has the fallback's own status
	KeepStatus = -1 // the answer has the status that led to the fallback
)
