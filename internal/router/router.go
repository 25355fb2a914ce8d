// Package router implements a reverse proxy on top of package server. It receives requests from gateways over FastCGI,
// admits them with the decision module, and forwards them to the members of pools over FastCGI or SCGI.
//
// The package provides the server's RequestParser, which resolves a request's route, and its Backend, which forwards the
// request to the route's pool and applies fallbacks. Only the goroutine of the server's event loop accesses the state.
// Package route chooses routes, package pool chooses members, and package forward manages the connections to members.
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

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 1 << 20

// Config is the configuration of a router.
type Config struct {
	Name        string
	Listen      netip.AddrPort
	StopTimeout time.Duration // from SIGTERM to SIGKILL
	MemoryMB    int
	Sockets     int
	Routes      *routeconfig.Config
	Seed        uint64                 // of the random number generators
	Operator    *config.OperatorConfig // may be nil
}

// Router is a server that forwards requests to pools.
type Router struct {
	*server.Server
	log     *zap.Logger
	backend *backend
}

// New returns a router that listens on cfg.Listen. The caller must call Run or Close next.
func New(cfg *Config, log *zap.Logger) (*Router, error) {
	return NewOnSystem(eventloop.Kernel{}, cfg, log)
}

// NewOnSystem is like New, with an event loop on the given system, such as a simulated one.
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

// errNoRoutes is returned for a configuration without a server or without a class.
var errNoRoutes = errors.New("router: the routes have no (server ...) or no (class ...)")

// validate returns an error if the routes have no server or no class.
func validate(routes *routeconfig.Config) error {
	if len(routes.Servers) == 0 || len(routes.Classes) == 0 {
		return errNoRoutes
	}
	return nil
}

// Reload applies new routes asynchronously; any goroutine may call it. Open requests keep their present routes. If the new
// routes are invalid or change the classes or the capacity, Reload logs the error and the present routes stay in force.
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
