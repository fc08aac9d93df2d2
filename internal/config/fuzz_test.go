package config

import (
	"os"
	"testing"
)

// Guards against operators' files that crash a daemon, and against files that one
// daemon accepts and another refuses after replication.
func FuzzCompile(f *testing.F) {
	src, err := os.ReadFile("../../examples/lists/moulds.jsonc")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(src)
	f.Add([]byte(`{"plans":{"a":{"weight":1e999}}}`))
	f.Add([]byte(`{"pools":{"p":{"kind":"engine"}},"services":{"s":{"pool":"p","operations":{}}}}`))
	f.Fuzz(func(t *testing.T, src []byte) {
		first, err := Compile("f", src, 1)
		if err != nil {
			return
		}
		second, err := Compile("f", first.Source, 1)
		if err != nil || second.SHA256 != first.SHA256 {
			t.Errorf("the second Compile of the same source: %v", err)
		}
	})
}
