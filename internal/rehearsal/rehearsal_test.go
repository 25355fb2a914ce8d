package rehearsal

import (
	"encoding/json"
	"testing"
	"time"
)

// TestSameSeed plays a day with every kind of incident twice: the reports are the same, byte for byte, and no rule is broken.
func TestSameSeed(t *testing.T) {
	s := Defaults()
	s.Name, s.Length, s.Rate = "all", 12*time.Second, 900
	for n, kind := range []Kind{Slow, Partition, Reload, Jump, Standing, Trickle, Resets, Death, Deploy} {
		s.Incidents = append(s.Incidents, Incident{Kind: kind, At: time.Duration(n) * time.Second, For: time.Second, Server: n%3 + 1, Times: 2})
	}
	var texts [2]string
	for n := range texts {
		r, err := Run(&s, 7)
		if err != nil {
			t.Fatal(err)
		}
		text, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		if texts[n] = string(text); n == 0 {
			t.Logf("%.3000s", text)
		}
		if len(r.Breaches) > 0 {
			t.Errorf("%d rules were broken, the first: %s", r.BreachesN, r.Breaches[0])
		}
	}
	if texts[0] != texts[1] {
		t.Errorf("two days of one seed differ:\n%.2000s\n%.2000s", texts[0], texts[1])
	}
}
