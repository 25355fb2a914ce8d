package forward

import (
	"fmt"
	"net/netip"
	"time"

	"tillerusher/internal/gateway"
	"tillerusher/internal/pool"
)

//go:generate go tool stringer -type=Outcome

// Outcome is the result of a request.
type Outcome uint8

// The outcomes of a request.
const (
	Responded    Outcome = iota // a member responded
	ResponseLost                // no response was received, and a member may have run the request
	NotStarted                  // no response was received, and no member has run the request if it is NonIdempotent
)

// The response statuses of requests without a response from a member, as in nginx.
const (
	statusBadGateway     = 502
	statusGatewayTimeout = 504
)

// Request is a request to a pool.
type Request struct {
	ID            string
	Pool          string
	HashKey       []byte // for the hash policies, see pool.Request
	NonIdempotent bool   // the request must not run twice
	Params        []gateway.Field
	Body          []byte
}

// pendingRequest is the state of a request that has not finished.
type pendingRequest struct {
	Request
	target         *targetPool
	selection      pool.Request // the attempts so far
	conn           *conn        // of the current attempt, or nil
	attemptStarted time.Time
	lastResponse   *gateway.Response // of the previous attempt, if its status led to a retry, or nil
}

// OpenRequests returns the number of requests that have not finished.
func (f *Forwarder) OpenRequests() int { return len(f.requests) }

// Submit sends a request to a member of its pool. The outcome is reported by Handler.RequestFinished, possibly before
// Submit returns.
func (f *Forwarder) Submit(request Request) {
	target := f.pools[request.Pool]
	if target == nil { // removed by a reload since the request was routed
		f.handler.RequestFinished(request.ID, NotStarted, gateway.Response{Status: statusBadGateway})
		return
	}
	req := &pendingRequest{Request: request, target: target, selection: pool.Request{HashKey: request.HashKey}}
	f.requests[request.ID] = req
	f.attempt(req)
}

// attempt sends a request to the next member, or finishes the request if no member is available.
func (f *Forwarder) attempt(req *pendingRequest) {
	addr, ok := req.target.balancer.Pick(&req.selection, f.now())
	f.reportChanges(req.target)
	switch {
	case !ok && req.lastResponse != nil:
		f.finish(req, Responded, *req.lastResponse) // no other member is available
		return
	case !ok:
		f.finish(req, NotStarted, gateway.Response{Status: statusBadGateway})
		return
	}
	f.Stats.Attempts++
	if req.selection.Attempts > 1 {
		f.Stats.Retries++
	}
	req.attemptStarted = f.loop.Now()
	if f.connect(req, addr) != nil { // dialling failed, for example for lack of file descriptors
		f.Stats.Errors++
		f.attemptFailed(req, addr, pool.Failure{Condition: pool.ConnectionError, NonIdempotent: req.NonIdempotent}, nil)
	}
}

// connect assigns a request to an idle connection to the member, or to a new one.
func (f *Forwarder) connect(req *pendingRequest, addr string) error {
	if c := req.target.takeIdle(addr); c != nil {
		f.Stats.ReusedConns++
		c.assign(req)
		c.send()
		return nil
	}
	return f.dial(req, addr)
}

// dial assigns a request to a new connection to the member.
func (f *Forwarder) dial(req *pendingRequest, addr string) error {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return fmt.Errorf("forward: member address: %w", err)
	}
	newConn := &conn{forwarder: f, target: req.target, protocol: req.target.protocol, addr: addr}
	f.Stats.Dials++
	if newConn.socket, err = f.loop.Dial(to, newConn); err != nil {
		return err
	}
	newConn.assign(req)
	newConn.startTimeout(req.target.config.ConnectTimeout)
	return nil
}

// takeIdle returns the most recently used idle connection to a member, or nil. It closes connections with pending input:
// the member has most likely closed them, and a non-idempotent request sent on one would be lost.
func (t *targetPool) takeIdle(addr string) *conn {
	for len(t.idle[addr]) > 0 {
		conns := t.idle[addr]
		c := conns[len(conns)-1]
		t.idle[addr] = conns[:len(conns)-1]
		t.idleCount--
		if !c.socket.HasPendingInput() {
			return c
		}
		c.close()
	}
	return nil
}

// attemptEnded reports an attempt's outcome to the pool, and the resulting state changes to the handler.
func (f *Forwarder) attemptEnded(req *pendingRequest, addr string, outcome pool.Outcome) {
	req.conn = nil
	req.target.balancer.Finish(addr, outcome, f.loop.Now().Sub(req.attemptStarted), f.now())
	f.reportChanges(req.target)
}

// attemptFailed ends a failed attempt, and retries or finishes the request. response is the member's response if its
// status counts as a failure, or nil.
func (f *Forwarder) attemptFailed(req *pendingRequest, addr string, failure pool.Failure, response *gateway.Response) {
	f.attemptEnded(req, addr, pool.Failed)
	decision := req.target.balancer.DecideRetry(&req.selection, failure, req.target.config.RetryOn, f.now())
	f.Stats.RetryDecisions[decision]++
	noResponse := gateway.Response{Status: statusBadGateway}
	if failure.Condition == pool.Timeout {
		noResponse.Status = statusGatewayTimeout
	}
	switch {
	case decision == pool.Retry:
		req.lastResponse = response
		f.attempt(req)
	case response != nil:
		f.finish(req, Responded, *response)
	case failure.Sent && failure.Condition != pool.Rejection:
		f.finish(req, ResponseLost, noResponse)
	default:
		f.finish(req, NotStarted, noResponse)
	}
}

// finish removes a request and reports its outcome, unless it has been removed already.
func (f *Forwarder) finish(req *pendingRequest, outcome Outcome, response gateway.Response) {
	if f.requests[req.ID] != req {
		return
	}
	delete(f.requests, req.ID)
	f.handler.RequestFinished(req.ID, outcome, response)
}

// Withdraw removes a request if none of it was sent, and reports whether it did. The outcome of a removed request is not
// reported to the handler.
func (f *Forwarder) Withdraw(id string) bool {
	req := f.requests[id]
	if req == nil || req.conn == nil || req.conn.isSent {
		return false
	}
	f.abandon(req)
	return true
}

// Stop cancels a request and reports its outcome to the handler. An unknown ID, such as of a finished request, is ignored.
func (f *Forwarder) Stop(id string) {
	req := f.requests[id]
	if req == nil {
		return
	}
	outcome := NotStarted
	if req.conn != nil && req.conn.isSent {
		outcome = ResponseLost
	}
	f.abandon(req)
	f.handler.RequestFinished(id, outcome, gateway.Response{Status: statusBadGateway})
}

// abandon removes a request and closes its connection, because a response could no longer be used.
func (f *Forwarder) abandon(req *pendingRequest) {
	delete(f.requests, req.ID)
	if c := req.conn; c != nil {
		c.request = nil
		c.close()
		f.attemptEnded(req, c.addr, pool.Neutral)
	}
}
