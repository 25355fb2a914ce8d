package interpreter

import (
	"encoding/json"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// TestCodecMatchesEncodingJSON compares the package's encoder and decoder with encoding/json, for random commands and for
// random notices, compact or indented.
func TestCodecMatchesEncodingJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body, seq := rapid.SliceOf(rapid.Byte()).Draw(t, "body"), rapid.Uint64().Draw(t, "seq")
		c := command{Op: rapid.String().Draw(t, "op"), Seq: &seq, ID: rapid.String().Draw(t, "id"),
			Class: rapid.String().Draw(t, "class"), Body: &body, Tag: rapid.String().Draw(t, "tag")}
		var got command
		if err := json.Unmarshal(c.appendTo(nil), &got); err != nil || !sameCommand(got, c) {
			t.Fatalf("encoding/json does not decode %s to the command that was encoded, error %v", c.appendTo(nil), err)
		}
		n := notice{Op: c.Op, Seq: seq, ID: c.ID, Detail: c.Class, Milliseconds: rapid.Float64().Draw(t, "ms"), Body: body, Tag: c.Tag,
			Values: rapid.SliceOf(rapid.Float64()).Draw(t, "values")}
		fields := map[string]any{"op": n.Op, "seq": n.Seq, "id": n.ID, "end": n.Detail, "ms": n.Milliseconds, "body": n.Body, "tag": n.Tag,
			"values": n.Values, "more": map[string]any{"of": []any{"it", 1, nil}}}
		line, err := json.Marshal(fields)
		if rapid.Bool().Draw(t, "indented") {
			line, err = json.MarshalIndent(fields, " ", "\t")
		}
		if err != nil {
			t.Fatal(err)
		}
		read, err := parseNotice(line)
		var want notice
		if json.Unmarshal(line, &want); err != nil || !reflect.DeepEqual(normalize(read), normalize(want)) {
			t.Fatalf("notice %s: parsed %+v, %v, want %+v", line, read, err, want)
		}
	})
}

// sameCommand reports whether two commands are equal. Their pointers must not be nil.
func sameCommand(a, b command) bool {
	return a.Op == b.Op && *a.Seq == *b.Seq && a.ID == b.ID && a.Class == b.Class && a.Tag == b.Tag &&
		string(*a.Body) == string(*b.Body)
}

// normalize replaces nil slices by empty ones, so that both compare as equal.
func normalize(n notice) notice {
	n.Body, n.Values = append([]byte{}, n.Body...), append([]float64{}, n.Values...)
	return n
}

// FuzzNotice checks that parseNotice does not panic on any line.
func FuzzNotice(f *testing.F) {
	f.Add([]byte(`{"op":"VALUE","seq":3,"id":"a1","end":"OK","ms":1.5,"body":"eA=="}`))
	f.Add([]byte(` { "op" : "TOPS" , "values" : [ 0.5 , 3 ] , "tag" : "\u0031" } `))
	f.Add([]byte(`{"op":"TRACE","seq":1,"end":"a \"remark\"","x":[{}],"body":null}`))
	f.Add([]byte(`{"op":"VALUE","values":[,]`))
	f.Fuzz(func(_ *testing.T, line []byte) { parseNotice(line) })
}
