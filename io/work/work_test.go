package work_test

import (
	"testing"

	"chicoryturn/io/work"
)

// FuzzDecode passes malformed reports to Decode, which must not panic or accept a
// report without a stamp.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"stamp":"1/2","seq":3,"room":{"cores":1,"memory":2},"tasks":[{"task":"r.0.j.1","state":"running","ran":"1s"}]}`))
	f.Add([]byte(`{"stamp":""}`))
	f.Add([]byte(`{"stamp":"s","tasks":[{"task":"x"}]}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := work.Decode(data)
		if err == nil && r.Stamp == "" {
			t.Error("a report without a stamp was accepted")
		}
	})
}
