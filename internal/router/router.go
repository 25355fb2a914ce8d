// Package router is a reverse proxy on the core of package server: it takes requests of gateways over FastCGI, has the
// decision module admit them, and passes them to the members of pools over FastCGI or SCGI.
//
// The package brings the core a parser, which finds a request's route, and a backend, which passes the request to the
// route's pool and chooses fallbacks. All state belongs to the goroutine of the server's loop. Packages route and pool
// choose routes and members, and package forward keeps the connections to members.
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

// maxBodyBytes is the largest size of a request's body.
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

// NewOnSystem is New with another system than the machine's, such as a simulated one.
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

// errNoRoutes is returned for a configuration without a server or a class.
var errNoRoutes = errors.New("routes: a description without (server ...) or (class ...)")

// validate returns an error for routes that can't be served.
func validate(routes *routeconfig.Config) error {
	if len(routes.Servers) == 0 || len(routes.Classes) == 0 {
		return errNoRoutes
	}
	return nil
}

// Reload applies other routes; any goroutine may call it. Open requests continue on their routes. Routes that can't be
// applied, or change classes or the capacity, change nothing and are logged.
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
