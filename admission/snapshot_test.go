package admission

import (
	"bytes"
	"errors"
	"reflect"
	"slices"
	"testing"
	"time"
	"unsafe"

	"pgregory.net/rapid"
)

// populatedInstance returns an Instance in which every list has an element.
func populatedInstance(t testing.TB) *Instance {
	settings := testSettings()
	settings.Tenants = []Tenant{{Quota: 3}}
	in, err := New(settings, &recorder{})
	if err != nil {
		t.Fatal(err)
	}
	k := &keyEntry{}
	r, original := &request{id: 1, key: k, state: stateFollowing}, &request{id: 2, state: stateQueued}
	r.original = original
	in.requests.byArrival, in.queue.requests = []*request{original, r}, []*request{original}
	in.requests.byID[1], in.requests.byID[2] = r, original
	in.keys.byClass[0] = []*keyEntry{k}
	in.rates.senders = []rateEstimate{{}}
	return in
}

// changeValue changes the value to a different one, and reports whether its kind is supported.
func changeValue(v reflect.Value) bool {
	v = reflect.NewAt(v.Type(), unsafe.Pointer(v.UnsafeAddr())).Elem() // allows setting unexported fields
	switch {
	case v.CanInt():
		v.SetInt(v.Int() + 1)
	case v.CanUint():
		v.SetUint(v.Uint() + 1)
	case v.CanFloat():
		v.SetFloat(v.Float() + 1)
	case v.Kind() == reflect.Bool:
		v.SetBool(!v.Bool())
	case v.Kind() == reflect.Array:
		return changeValue(v.Index(0))
	default:
		return false
	}
	return true
}

// stateField is a field of the state that is not itself a struct.
type stateField struct {
	name  string // type and field
	index []int  // from the outermost struct
}

// fieldsOf returns the fields of a struct and of its nested structs.
func fieldsOf(kind reflect.Type, index ...int) (fields []stateField) {
	for i := range kind.NumField() {
		field := kind.Field(i)
		at := append(slices.Clone(index), i)
		if field.Type.Kind() == reflect.Struct {
			fields = append(fields, fieldsOf(field.Type, at...)...)
		} else {
			fields = append(fields, stateField{name: kind.Name() + "." + field.Name, index: at})
		}
	}
	return fields
}

// TestSnapshotContainsEveryField changes one field of the state at a time, which must change the snapshot. It fails
// for a new field that snapshots do not contain.
func TestSnapshotContainsEveryField(t *testing.T) {
	// Lists and pointers are encoded by their elements. The actions belong to the host, and byID follows from
	// byArrival.
	structuralFields := map[string]bool{"Instance.actions": true, "Instance.classes": true, "requestTable.byID": true,
		"requestTable.byArrival": true, "requestQueue.requests": true, "idempotencyKeys.notStarted": true,
		"idempotencyKeys.byClass": true, "rateEstimator.senders": true, "request.key": true,
		"request.original": true, "Settings.Classes": true, "Settings.Tenants": true}
	parts := []func(in *Instance) any{
		func(in *Instance) any { return in }, func(in *Instance) any { return in.requests.byArrival[1] },
		func(in *Instance) any { return in.keys.byClass[0][0] }, func(in *Instance) any { return &in.rates.senders[0] },
		func(in *Instance) any { return &in.rates.completions }, func(in *Instance) any { return &in.rates.arrivals },
		func(in *Instance) any { return &in.classes[0] }, func(in *Instance) any { return &in.settings },
		func(in *Instance) any { return &in.settings.Classes[0] }, func(in *Instance) any { return &in.settings.Tenants[0] }}
	base := populatedInstance(t).Snapshot(nil)
	for _, part := range parts {
		kind := reflect.TypeOf(part(populatedInstance(t))).Elem()
		for _, field := range fieldsOf(kind) {
			in := populatedInstance(t)
			if !changeValue(reflect.ValueOf(part(in)).Elem().FieldByIndex(field.index)) {
				if !structuralFields[field.name] {
					t.Errorf("%s is not in structuralFields and its kind is unknown: encode it in snapshots and add it to the list", field.name)
				}
				continue
			}
			changed := in.Snapshot(nil)
			if bytes.Equal(changed, base) {
				t.Errorf("%s is not in the snapshot", field.name)
			}
			restored, err := Restore(changed, &recorder{})
			if err != nil {
				t.Errorf("%s: %v", field.name, err)
			} else if !bytes.Equal(restored.Snapshot(nil), changed) {
				t.Errorf("%s is not restored", field.name)
			}
		}
	}
}

// TestRestoredInstanceMakesSameDecisions drives an Instance by random events, restores it at a random time, and sends
// the same events to both: every action must be the same.
func TestRestoredInstanceMakesSameDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := testSettings()
		settings.ResultFreshness = time.Duration(rapid.IntRange(0, 2).Draw(t, "fresh")) * time.Second
		recs := []*recorder{{}}
		in, err := New(settings, recs[0])
		if err != nil {
			t.Fatal(err)
		}
		instances := []Events{in}
		now, last := time.Duration(0), RequestID(0)
		from := rapid.IntRange(0, 60).Draw(t, "from")
		for step := range rapid.IntRange(from, 120).Draw(t, "steps") {
			if step == from {
				recs = append(recs, &recorder{})
				back, err := Restore(in.Snapshot(nil), recs[1])
				if err != nil {
					t.Fatal(err)
				}
				if !bytes.Equal(back.Snapshot(nil), in.Snapshot(nil)) {
					t.Fatal("the snapshot of the restored instance differs from the original snapshot")
				}
				instances = append(instances, back)
				recs[0].lines = nil
			}
			now += time.Duration(rapid.IntRange(0, 80).Draw(t, "wait")) * time.Millisecond
			kind := rapid.IntRange(0, 9).Draw(t, "kind")
			id := RequestID(rapid.IntRange(0, int(last)).Draw(t, "id"))
			arrival := Request{Class: rapid.IntRange(0, len(settings.Classes)-1).Draw(t, "class"), ResourceID: uint64(id),
				IsRetry: id%2 == 1, RetryOf: id, SizeKB: 20, QueueingDelay: time.Duration(id) * time.Millisecond}
			if kind < 5 {
				last++
				arrival.ID = last
			}
			busy := rapid.Float64Range(0, 1).Draw(t, "busy")
			for _, e := range instances {
				switch {
				case kind < 5:
					e.Request(now, arrival)
				case kind < 7:
					e.RunFinished(now, id, OK)
				case kind == 7:
					e.Cancel(now, id)
				case kind == 8 && id == last && step > 40:
					e.Drain(now, 3*time.Second)
				default:
					e.Timer(now, 0, Gauges{Utilization: busy, Runnable: -1})
				}
				e.Settle(now)
			}
		}
		if len(recs) == 2 && !reflect.DeepEqual(recs[0].lines, recs[1].lines) {
			t.Fatalf("decisions differ:\n%q\n%q", recs[0].lines, recs[1].lines)
		}
	})
}

// TestRestoreRejectsOtherBytes checks that truncated snapshots and other bytes are rejected.
func TestRestoreRejectsOtherBytes(t *testing.T) {
	whole := populatedInstance(t).Snapshot(nil)
	for n := range whole {
		if _, err := Restore(whole[:n], nil); !errors.Is(err, ErrSnapshot) {
			t.Errorf("the first %d of %d bytes: error %v, want ErrSnapshot", n, len(whole), err)
		}
	}
	if _, err := Restore(append(whole, 0), nil); !errors.Is(err, ErrSnapshot) {
		t.Errorf("one additional byte: error %v, want ErrSnapshot", err)
	}
}

// FuzzRestore checks that any bytes are either rejected or restored, without a panic.
func FuzzRestore(f *testing.F) {
	f.Add(populatedInstance(f).Snapshot(nil))
	f.Add([]byte{snapshotVersion})
	f.Fuzz(func(t *testing.T, b []byte) {
		in, err := Restore(b, &recorder{})
		if err == nil && in == nil {
			t.Error("Restore returned neither an instance nor an error")
		}
	})
}
