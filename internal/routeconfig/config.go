package routeconfig

import (
	"net/netip"
	"time"

	"tillerusher/internal/pool"
	"tillerusher/internal/route"
	"tillerusher/internal/sexp"
)

// Config is the whole configuration of a router. Its JSON keys, here and in the types below, are those that
// `config show --json` has always printed.
type Config struct {
	// Capacity is how many requests members may have in flight. To the admission module it is the number of cores.
	Capacity int      `json:"Capacity"`
	Classes  []Class  `json:"Classes"`
	Pools    []Pool   `json:"Pools"`
	Servers  []Server `json:"Servers"`
}

// DefaultCapacity is the capacity if none is configured.
const DefaultCapacity = 64

// Class is a kind of request, by which the admission module decides.
type Class struct {
	Name             string        `json:"Name"`
	LatencyObjective time.Duration `json:"Aim"`      // an answer within it has the full weight
	Deadline         time.Duration `json:"Deadline"` // no caller waits longer
	Effect           Effect        `json:"Effect"`
	KeyWindow        time.Duration `json:"Window"` // how long the keys of an idempotent-by-key class are kept
	Weight           float64       `json:"Worth"`
	Pos              sexp.Pos      `json:"At"`
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
	// HashKey is a HashBy constant, or HashByHeaderPrefix and a field's name. It is empty unless the policy needs a key.
	HashKey        string              `json:"HashKey"`
	Protocol       string              `json:"Protocol"` // ProtocolFastCGI or ProtocolSCGI
	RetryOn        pool.RetryCondition `json:"Next"`
	MaxIdleConns   int                 `json:"Keepalive"`
	ConnectTimeout time.Duration       `json:"Connect"`
	ReadTimeout    time.Duration       `json:"Read"`   // between two reads of an answer
	SendTimeout    time.Duration       `json:"Send"`   // between two writes of a request
	Params         []Param             `json:"Params"` // parameters that members get with each request
	Pos            sexp.Pos            `json:"At"`
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
type Param struct {
	Name  string `json:"Name"`
	Value string `json:"Value"`
}

// Server is a virtual server.
type Server struct {
	Listen       []Listen    `json:"Listen"`
	Names        []string    `json:"Names"`
	MergeSlashes bool        `json:"Merge"`
	Rewrites     []Rewrite   `json:"Rewrites"`
	Locations    []*Location `json:"Locations"`
	Pos          sexp.Pos    `json:"At"`
}

// Listen is an address of a server.
type Listen struct {
	Addr    netip.AddrPort `json:"Addr"`
	Default bool           `json:"Default"` // the server takes requests for names that no server at this address has
}

// Location is a location and what becomes of its requests. At most one of Pool and ReturnStatus is set, and neither if
// only the nested locations count.
type Location struct {
	Kind            route.Kind  `json:"Kind"`
	Pattern         string      `json:"Pattern"`
	Pool            string      `json:"Pool"`
	Class           string      `json:"Class"`
	ReturnStatus    int         `json:"Status"` // of an answer without a member
	ReturnText      string      `json:"Text"`   // its body, or the URL of a redirect
	Fallbacks       []Fallback  `json:"Fallbacks"`
	InterceptErrors bool        `json:"Intercept"` // Fallbacks count for the statuses of members' answers, too
	Rewrites        []Rewrite   `json:"Rewrites"`
	Params          []Param     `json:"Params"`
	Locations       []*Location `json:"Locations"`
	Pos             sexp.Pos    `json:"At"`
}

// Rewrite changes paths or redirects clients.
type Rewrite struct {
	Pattern     string            `json:"Pattern"`
	Replacement string            `json:"To"`
	Flag        route.RewriteFlag `json:"Flag"`
	Pos         sexp.Pos          `json:"At"`
}

// Fallback is a named location that takes over for statuses: of answers that no member made, and if the location
// intercepts errors, of members' answers.
type Fallback struct {
	Location       string `json:"Name"` // its name
	Statuses       []int  `json:"On"`
	ResponseStatus int    `json:"As"` // OwnStatus, KeepStatus or a status
}

// The values of Fallback.ResponseStatus that are no status.
const (
	OwnStatus  = 0  // the answer has the fallback's own status
	KeepStatus = -1 // the answer has the status that led to the fallback
)
