package usage

import (
	"testing"

	"pgregory.net/rapid"
)

// TestRandomAccounts checks the total, the number of owners and the largest account after random steps against a plain sum.
func TestRandomAccounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var total Total[int]
		accounts := make([]Account[int], 6)
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				a := &accounts[rapid.IntRange(0, len(accounts)-1).Draw(t, "account")]
				total.Add(a, rapid.IntRange(-a.Bytes(), 50).Draw(t, "bytes"))
			},
			"empty": func(t *rapid.T) {
				a := &accounts[rapid.IntRange(0, len(accounts)-1).Draw(t, "account")]
				total.Add(a, -a.Bytes())
			},
			"": func(t *rapid.T) {
				sum, owners, largest := 0, 0, 0
				for i := range accounts {
					bytes := accounts[i].Bytes()
					sum += bytes
					largest = max(largest, bytes)
					if bytes > 0 {
						owners++
					}
				}
				got := 0
				if a := total.Largest(); a != nil {
					got = a.Bytes()
				}
				if total.Bytes() != sum || total.Owners() != owners || got != largest {
					t.Fatalf("%d bytes, %d owners, largest %d; want %d, %d, %d", total.Bytes(), total.Owners(), got, sum, owners, largest)
				}
			},
		})
	})
}
