package simulatorwire

import (
	"bytes"
	"testing"
	"time"
)

// TestExampleReply checks the encoding of the example reply in the description of the protocol.
func TestExampleReply(t *testing.T) {
	var r Reply
	a := Actions{Reply: &r, InstanceID: 3}
	a.Run(0x5d3a91c4)
	a.SetTimer(500*time.Millisecond, 77)
	(&Actions{Reply: &r, InstanceID: 5}).Log("two servers known")
	var out bytes.Buffer
	if err := r.Flush(&out); err != nil {
		t.Fatal(err)
	}
	want := decodeHex(t, `03000000 59000000
4d 03000000 c4913a5d +15
45 03000000 0065cd1d00000000 4d000000 +7
41 05000000 00000000 11000000 +11`)
	want = append(want, "two servers known"...)
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("reply\n got %x\nwant %x", out.Bytes(), want)
	}
}

// TestEachActionsBytes checks the encoding of the actions that the example reply lacks.
func TestEachActionsBytes(t *testing.T) {
	for _, c := range []struct {
		do   func(a *Actions)
		want string
	}{
		{func(a *Actions) { a.Reject(0x0e6f2b19, 250*time.Millisecond, true) }, "48 03000000 192b6f0e 80b2e60e00000000 01 +6"},
		{func(a *Actions) { a.AdvertiseLoad(0.25) }, "44 03000000 0000803e +15"},
		{func(a *Actions) { a.Fail(1) }, "4f 03000000 01000000 +15"},
		{func(a *Actions) { a.Call(1, time.Millisecond) }, "47 03000000 01000000 40420f0000000000 +7"},
		{func(a *Actions) { a.SkipCall(1) }, "42 03000000 01000000 +15"},
		{func(a *Actions) { a.Stop(1) }, "4c 03000000 01000000 +15"},
		{func(a *Actions) { a.KeepKey(1, time.Millisecond) }, "49 03000000 01000000 40420f0000000000 +7"},
		{func(a *Actions) { a.ReleaseKey(1) }, "4e 03000000 01000000 +15"},
		{func(a *Actions) { a.ReplayResult(1) }, "46 03000000 01000000 +15"},
		{func(a *Actions) { a.SetHealth(true, false) }, "4a 03000000 01 00 +17"},
		{func(a *Actions) { a.CloseIdleConnections(time.Millisecond) }, "43 03000000 40420f0000000000 +11"},
		{func(a *Actions) { a.Call(1, -time.Second) }, "47 03000000 01000000 +15"},
	} {
		var r Reply
		c.do(&Actions{Reply: &r, InstanceID: 3})
		if want := decodeHex(t, c.want); !bytes.Equal(r.records, want) {
			t.Errorf("record %x, want %x", r.records, want)
		}
	}
}

// TestExceptionText checks the encoding of an exception, whose text is in the tail.
func TestExceptionText(t *testing.T) {
	var r Reply
	r.AddException(2, "no cores")
	var out bytes.Buffer
	if err := r.Flush(&out); err != nil {
		t.Fatal(err)
	}
	want := append(decodeHex(t, "01000000 20000000 4b 02000000 00000000 08000000 +11"), "no cores"...)
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("reply %x, want %x", out.Bytes(), want)
	}
}
