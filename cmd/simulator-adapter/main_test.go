package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"
)

// settingsText is the text of valid settings of a site.
const settingsText = `{"servers": 2, "tick-ns": 1000000, "lanes": [{"on-time-ns": 1000000000, "hard-limit-ns": 2000000000,
 "repeat": "retryable", "worth": 1}], "family-info": {"cores": 2, "memory-kb": 1000, "run-factor": 4, "callers": 1,
 "passes-deadline": true}, "obligations": {"overload-factor": 4, "cold-share": 1}}`

// batch returns an encoded batch with records of 64 bytes and a tail.
func batch(now uint64, tail string, records ...[]byte) []byte {
	out := binary.LittleEndian.AppendUint64(nil, now)
	out = binary.LittleEndian.AppendUint32(out, uint32(4+64*len(records)+len(tail)))
	out = binary.LittleEndian.AppendUint32(out, uint32(len(records)))
	for _, r := range records {
		out = append(out, r...)
	}
	return append(out, tail...)
}

// record returns an event record with an instance and the ID of a request.
func record(code byte, instance, id uint32) []byte {
	p := make([]byte, 64)
	p[0] = code
	binary.LittleEndian.PutUint32(p[1:], instance)
	binary.LittleEndian.PutUint32(p[5:], id)
	return p
}

// attach returns an attach event whose settings are the first length bytes of the tail.
func attach(instance uint32, length int) []byte {
	p := record(1, instance, 0)
	binary.LittleEndian.PutUint32(p[17:], uint32(length))
	return p
}

// request returns a request event whose caller waits for 2 more seconds.
func request(instance, id uint32) []byte {
	p := record(8, instance, id)
	binary.LittleEndian.PutUint64(p[26:], 2e9)
	return p
}

// actionCodes returns the action codes of each reply in the output, one string a reply.
func actionCodes(t *testing.T, out []byte) (replies []string) {
	t.Helper()
	for len(out) > 0 {
		n, size := binary.LittleEndian.Uint32(out), binary.LittleEndian.Uint32(out[4:])
		var actions []byte
		for i := uint32(0); i < n; i++ {
			actions = append(actions, out[8+24*i])
		}
		replies = append(replies, string(actions))
		out = out[8+size:]
	}
	return replies
}

// TestOneReplyPerBatch checks that each batch gets one reply and that each request is run, while instances are attached,
// detached and attached again with the same ID.
func TestOneReplyPerBatch(t *testing.T) {
	var in, out bytes.Buffer
	in.Write(batch(1, ""))
	in.Write(batch(2, settingsText, attach(1, len(settingsText)), attach(7, len(settingsText)), request(1, 5)))
	in.Write(batch(3, settingsText, record(3, 1, 0), attach(1, len(settingsText)), request(1, 6)))
	in.Write(batch(4, "", request(7, 5), record(9, 7, 99)))
	if err := serve(&in, &out); err != nil {
		t.Fatal(err)
	}
	got := actionCodes(t, out.Bytes())
	if len(got) != 4 || got[0] != "" {
		t.Fatalf("replies %q, want 4, the first one empty", got)
	}
	for i := 1; i < 4; i++ {
		if strings.Count(got[i], "\x4d") != 1 {
			t.Errorf("reply %d has the actions %q, want one run", i, got[i])
		}
	}
}

// TestRejectedSettingsAreReported checks that settings without cores are reported as an exception.
func TestRejectedSettingsAreReported(t *testing.T) {
	invalid := strings.Replace(settingsText, `"cores": 2`, `"cores": 0`, 1)
	var in, out bytes.Buffer
	in.Write(batch(2, invalid, attach(1, len(invalid))))
	if err := serve(&in, &out); err != nil {
		t.Fatal(err)
	}
	if got := actionCodes(t, out.Bytes()); len(got) != 1 || got[0] != "\x4b" || !strings.Contains(out.String(), "Cores") {
		t.Errorf("reply %q, want an exception that names the field", out.String())
	}
}

// TestEventForUnknownInstance checks that an event for an instance that was not attached is an error that names the
// instance, and that no reply is written.
func TestEventForUnknownInstance(t *testing.T) {
	var out bytes.Buffer
	err := serve(bytes.NewReader(batch(2, "", request(4, 1))), &out)
	if err == nil || !strings.Contains(err.Error(), "instance 4") || out.Len() != 0 {
		t.Errorf("error %v, %d bytes written, want an error about instance 4 and no reply", err, out.Len())
	}
}

// TestPanicIsReported checks that a panic in the decision module becomes an exception in the reply.
func TestPanicIsReported(t *testing.T) {
	h := newHost()
	h.guard(3, func() { panic("broken") })
	var out bytes.Buffer
	if err := h.reply.Flush(&out); err != nil {
		t.Fatal(err)
	}
	if got := actionCodes(t, out.Bytes()); got[0] != "\x4b" || !strings.Contains(out.String(), "panic: broken") {
		t.Errorf("reply %q, want an exception with the text of the panic", out.String())
	}
}
