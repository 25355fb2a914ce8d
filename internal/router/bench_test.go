package router

import (
	"fmt"
	"net"
	"net/http"
	"net/http/fcgi"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tillerusher/internal/fake"
	"tillerusher/internal/routeconfig"
	"tillerusher/internal/servertest"
)

// encodePlainGET encodes a GET request without the platform's fields, as a common gateway sends it.
func encodePlainGET(id uint16) []byte {
	b := fake.EncodeBeginRequest(id, 1, true)
	var params []byte
	for _, p := range [][2]string{{"REQUEST_METHOD", "GET"}, {"SCRIPT_NAME", "/p"}, {"REQUEST_URI", "/p"},
		{"SERVER_PROTOCOL", "HTTP/1.1"}, {"HTTP_HOST", "x"}, {"REMOTE_ADDR", "127.0.0.1"}} {
		params = append(params, fake.EncodePair(p[0], p[1], false)...)
	}
	b = append(b, fake.EncodeRecord(fake.Params, id, params, 0)...)
	b = append(b, fake.EncodeRecord(fake.Params, id, nil, 0)...)
	return append(b, fake.EncodeRecord(fake.Stdin, id, nil, 0)...)
}

// BenchmarkHop measures the latency that the router adds. It sends requests to a trivial net/http/fcgi responder, once
// directly and once through the router, with 16 requests in flight.
func BenchmarkHop(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	go fcgi.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "ok") }))
	text := strings.Replace(twoMemberRoutes, "(member @A) (member @B) (keepalive 4)",
		"(member "+listener.Addr().String()+") (keepalive 32)", 1)
	text = strings.Replace(text, "(capacity 8)", "(capacity 64)", 1)
	routes, err := routeconfig.Parse("f", []byte(text))
	if err != nil {
		b.Fatal(err)
	}
	r, _ := startRouter(b, routes)
	for name, addr := range map[string]string{"direct": listener.Addr().String(), "routed": listenAddr(r)} {
		b.Run(name, func(b *testing.B) { measureLatency(b, addr) })
	}
}

// measureLatency sends b.N requests over 16 connections and reports the median and the 99th percentile of their latency.
func measureLatency(b *testing.B, addr string) {
	const conns = 16
	total := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	var mu sync.Mutex
	var callers sync.WaitGroup
	b.ResetTimer()
	for caller := range conns {
		callers.Add(1)
		go func() {
			defer callers.Done()
			g, err := fake.Dial(addr)
			if err != nil {
				b.Error(err)
				return
			}
			defer g.Close()
			callerHistogram := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
			for n := caller; n < b.N; n += conns {
				sentAt := time.Now()
				if g.Write(encodePlainGET(1)) != nil {
					b.Error("the request could not be written")
					return
				}
				if a, err := g.ReadResponse(1, sentAt.Add(time.Minute)); err != nil || a.Status != 200 {
					b.Errorf("%v, %+v", err, a)
					return
				}
				callerHistogram.RecordValue(max(time.Since(sentAt).Microseconds(), 1))
			}
			mu.Lock()
			defer mu.Unlock()
			total.Merge(callerHistogram)
		}()
	}
	callers.Wait()
	b.ReportMetric(float64(total.ValueAtQuantile(50)), "p50us")
	b.ReportMetric(float64(total.ValueAtQuantile(99)), "p99us")
}

// BenchmarkOpenRequest measures the heap memory of one open request that waits for a member's response.
func BenchmarkOpenRequest(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") // never accepts: connections stay in the kernel's backlog
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	const gateways, streams = 8, 32
	text := strings.Replace(twoMemberRoutes, "(member @A) (member @B)", "(member "+listener.Addr().String()+")", 1)
	text = strings.Replace(strings.Replace(text, "(capacity 8)", "(capacity 1000)", 1), "(read 300ms)", "(read 1m)", 1)
	routes, err := routeconfig.Parse("f", []byte(text))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		r, g := startRouter(b, routes)
		before := heapInUse()
		conns := []*servertest.Gateway{g}
		for range gateways - 1 {
			conns = append(conns, servertest.Dial(b, listenAddr(r)))
		}
		for _, c := range conns {
			for id := range streams {
				c.Write(encodePlainGET(uint16(id + 1)))
			}
		}
		servertest.WaitFor(b, "all requests to reach the member", func() (all bool) {
			onLoop(r, func() { all = r.backend.OpenRuns() == gateways*streams })
			return all
		})
		b.ReportMetric(float64(heapInUse()-before)/(gateways*streams), "B/open")
		for _, c := range conns {
			c.Close()
		}
	}
}

// heapInUse returns the number of bytes of live heap objects after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
