// Package router is a reverse proxy on the core of package server: it takes requests of gateways over FastCGI, has the
// decision module admit them, and passes them to the members of pools over FastCGI or SCGI.
//
// The package brings the core a parser, which finds a request's route, and a backend, which passes the request to the
// route's pool and chooses fallbacks. All state belongs to the goroutine of the server's loop. What a route and a pool
// decide stands in packages route and pool, and connections to members in package forward.
package router

import (
	"errors"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"tillerusher/internal/config"
	"tillerusher/internal/eventloop"
	"tillerusher/internal/fastcgi"
	"tillerusher/internal/routeconfig"
	"tillerusher/server"
)

// maxBodyBytes is the size of a request's body.
const maxBodyBytes = 1 << 20

// Config is the configuration of a router.
type Config struct {
	Name        string
	Listen      netip.AddrPort
	StopTimeout time.Duration // from SIGTERM to SIGKILL
	MemoryMB    int
	Sockets     int
	Routes      *routeconfig.Config
	Seed        uint64                 // of random choices
	Operator    *config.OperatorConfig // nil where there is none
}

// Router is a server that routes to pools.
type Router struct {
	*server.Server
	log     *zap.Logger
	backend *backend
}

// New returns a router that listens at its address. Run has to be called next, or Close.
func New(cfg *Config, log *zap.Logger) (*Router, error) {
	return NewOnSystem(eventloop.Kernel{}, cfg, log)
}

// NewOnSystem is New on a system that need not be the machine's.
func NewOnSystem(system eventloop.System, cfg *Config, log *zap.Logger) (*Router, error) {
	if err := validate(cfg.Routes); err != nil {
		return nil, err
	}
	site, classes := siteSettings(cfg)
	limits := fastcgi.Limits{
		OpenRequests: server.MaxOpenRequests,
		ParamBytes:   server.MaxParamsBytes,
		BodyBytes:    maxBodyBytes,
		TotalBytes:   server.RequestMemory(cfg.MemoryMB),
		KeepParams:   true,
	}
	created := &Router{log: log}
	var err error
	created.Server, err = server.NewWithParts(system, serverConfig(cfg, site), log, server.Parts{
		Limits: limits,
		New: func(s *server.Server) (server.RequestParser, server.Backend) {
			created.backend = newBackend(s, cfg, classes, log)
			return created.backend, created.backend
		},
	})
	if err != nil {
		return nil, err
	}
	return created, nil
}

// errNoRoutes says that a configuration can be read but not served.
var errNoRoutes = errors.New("routes: a description without (server ...) or (class ...)")

// validate returns what is wrong with routes that were read.
func validate(routes *routeconfig.Config) error {
	if len(routes.Servers) == 0 || len(routes.Classes) == 0 {
		return errNoRoutes
	}
	return nil
}

// Reload goes on with other routes; any goroutine may call it. Requests that are open go on where they are.
func (r *Router) Reload(routes *routeconfig.Config) {
	r.Post(func() {
		if err := r.backend.update(routes); err != nil {
			r.log.Error("configuration not reloaded", zap.Error(err))
			return
		}
		r.CountReload()
		r.log.Info("routes reloaded", zap.Int("pools", len(routes.Pools)), zap.Int("servers", len(routes.Servers)))
		r.Annotate("routes reloaded")
	})
}
