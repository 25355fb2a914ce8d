package routeconfig

import (
	"net/netip"
	"time"

	"tillerusher/internal/pool"
	"tillerusher/internal/route"
	"tillerusher/internal/sexp"
)

// Config is the configuration of a router. The JSON keys of Config and of the types below are part of the output of
// `config show --json` and never change.
type Config struct {
	// Capacity is the maximum number of requests in flight at all members together. The admission module gets it as the
	// number of cores.
	Capacity int      `json:"Capacity"`
	Classes  []Class  `json:"Classes"`
	Pools    []Pool   `json:"Pools"`
	Servers  []Server `json:"Servers"`
}

// DefaultCapacity is the Capacity of a configuration that doesn't set one.
const DefaultCapacity = 64

// Class is a class of requests. The admission module decides on a request by its class.
type Class struct {
	Name             string        `json:"Name"`
	LatencyObjective time.Duration `json:"Aim"`      // a response within it has the full weight
	Deadline         time.Duration `json:"Deadline"` // maximum time that a client waits
	Effect           Effect        `json:"Effect"`
	KeyWindow        time.Duration `json:"Window"` // how long the idempotency keys of an EffectIdempotentByKey class are kept
	Weight           float64       `json:"Worth"`
	Pos              sexp.Pos      `json:"At"`
}

// Effect says whether a request may run twice. Its values are the keywords of the configuration.
type Effect string

// The effects of requests.
const (
	EffectSafe            Effect = "safe"
	EffectIdempotentByKey Effect = "keyed"
	EffectNonIdempotent   Effect = "unsafe"
	EffectByMethod        Effect = "by-method" // EffectSafe for safe methods (RFC 9110, section 9.2.1), else EffectNonIdempotent
)

// Pool is an upstream pool with the protocol, timeouts and parameters of requests to its members.
type Pool struct {
	pool.Config
	// HashKey is a HashBy constant, or HashByHeaderPrefix and the name of a header field. It is empty unless the balancing
	// policy needs a key.
	HashKey        string              `json:"HashKey"`
	Protocol       string              `json:"Protocol"` // ProtocolFastCGI or ProtocolSCGI
	RetryOn        pool.RetryCondition `json:"Next"`
	MaxIdleConns   int                 `json:"Keepalive"`
	ConnectTimeout time.Duration       `json:"Connect"`
	ReadTimeout    time.Duration       `json:"Read"`   // between two reads of a response
	SendTimeout    time.Duration       `json:"Send"`   // between two writes of a request
	Params         []Param             `json:"Params"` // additional parameters of each request to a member
	Pos            sexp.Pos            `json:"At"`
}

// The protocols of pools.
const (
	ProtocolFastCGI = "fastcgi"
	ProtocolSCGI    = "scgi"
)

// The parts of a request that a pool can hash by.
const (
	HashByURI          = "uri"
	HashByPath         = "path"
	HashByQuery        = "query"
	HashByHost         = "host"
	HashByClient       = "client"
	HashByHeaderPrefix = "header:" // followed by the name of a header field
)

// Param is an additional parameter of each request to a member.
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

// Listen is an address at which a server listens.
type Listen struct {
	Addr    netip.AddrPort `json:"Addr"`
	Default bool           `json:"Default"` // the server gets the requests for host names that no server at this address has
}

// Location is a location with the settings for its requests. At most one of Pool and ReturnStatus is set. Neither is
// set if the location only contains nested locations.
type Location struct {
	Kind            route.Kind  `json:"Kind"`
	Pattern         string      `json:"Pattern"`
	Pool            string      `json:"Pool"`
	Class           string      `json:"Class"`
	ReturnStatus    int         `json:"Status"` // status of a response without a request to a member
	ReturnText      string      `json:"Text"`   // body of that response, or the URL of a redirect
	Fallbacks       []Fallback  `json:"Fallbacks"`
	InterceptErrors bool        `json:"Intercept"` // Fallbacks also apply to the statuses of members' responses
	Rewrites        []Rewrite   `json:"Rewrites"`
	Params          []Param     `json:"Params"`
	Locations       []*Location `json:"Locations"`
	Pos             sexp.Pos    `json:"At"`
}

// Rewrite changes the path and the query of a request, or redirects the client.
type Rewrite struct {
	Pattern     string            `json:"Pattern"`
	Replacement string            `json:"To"`
	Flag        route.RewriteFlag `json:"Flag"`
	Pos         sexp.Pos          `json:"At"`
}

// Fallback is a named location that handles requests whose response has one of the Statuses. It applies to responses
// that no member sent, and also to members' responses if the location has InterceptErrors.
type Fallback struct {
	Location       string `json:"Name"` // name of the named location, without @
	Statuses       []int  `json:"On"`
	ResponseStatus int    `json:"As"` // OwnStatus, KeepStatus or a status
}

// The values of Fallback.ResponseStatus that are not HTTP statuses.
const (
	OwnStatus  = 0  // the response has the status of the fallback's response
	KeepStatus = -1 // the response has the status that led to the fallback
)
