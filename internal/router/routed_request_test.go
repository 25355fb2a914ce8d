package router

import (
	"testing"

	"tillerusher/internal/gateway"
	"tillerusher/internal/pool"
	"tillerusher/internal/routeconfig"
)

// TestHashKey checks the hash key for each kind of key that a pool can have, and for ip-hash.
func TestHashKey(t *testing.T) {
	for hashKey, want := range map[string]string{
		routeconfig.HashByURI:                     "/raw%20path?k=v",
		routeconfig.HashByPath:                    "/path",
		routeconfig.HashByQuery:                   "rewritten=1",
		routeconfig.HashByHost:                    "shop.example",
		routeconfig.HashByClient:                  "\x0a\x00\x00\x07",
		routeconfig.HashByHeaderPrefix + "X-Shop": "north",
	} {
		routed := &routedRequest{
			backend:       &backend{pools: map[string]*routeconfig.Pool{"app": {HashKey: hashKey}}},
			location:      &routeconfig.Location{Pool: "app"},
			requestedPath: "/raw%20path",
			path:          "/path",
			query:         "rewritten=1",
			request: gateway.Request{
				Query:   "k=v",
				Headers: map[string]string{"host": "shop.example", "x-shop": "north"},
				Params:  map[string]string{"REMOTE_ADDR": "10.0.0.7"},
			},
		}
		if got := string(routed.hashKey()); got != want {
			t.Errorf("%s: %q, want %q", hashKey, got, want)
		}
		routed.backend.pools["app"].BalancingPolicy = pool.IPHash
		if got := string(routed.hashKey()); got != "\x0a\x00\x00\x07" {
			t.Errorf("%s with ip-hash: %q, want the client's address", hashKey, got)
		}
	}
}
