package report

import (
	"bytes"
	"strings"
	"testing"
)

// TestPage checks that a page contains its tables and charts, and that texts are escaped.
func TestPage(t *testing.T) {
	series := Series{Name: "l", Points: []Point{{0, 1}, {3, 2}}, Low: []float64{0.5, 1}, High: []float64{1.5, 3}}
	p := Page{
		Title: "a <b>",
		Sections: []Section{{
			Title:  "s",
			Header: []string{"x"},
			Rows:   [][]string{{"1 < 2"}},
			Charts: []Chart{{Title: "c", Shaded: []Span{{1, 2}}, Series: []Series{series}}},
		}},
	}
	var b bytes.Buffer
	if err := p.HTML(&b); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"a &lt;b&gt;", "1 &lt; 2", "<figure><svg", "</svg>"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("the page doesn't contain %q", want)
		}
	}
	if strings.Count(b.String(), "<?xml") > 0 {
		t.Error("the page contains an XML declaration")
	}
}
