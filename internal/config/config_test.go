package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against invalid example lists, and against a Compile that modifies the
// source and thereby loses its comments or changes its digest.
func TestExampleListsAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/lists/*.jsonc")
	if err != nil || len(files) == 0 {
		t.Fatalf("no example lists found: %v", err)
	}
	for _, f := range files {
		src, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		original := bytes.Clone(src)
		s, err := Compile(f, src, 1)
		if err != nil {
			t.Error(err)
			continue
		}
		if sum := sha256.Sum256(original); !bytes.Equal(s.Source, original) || s.SHA256 != hex.EncodeToString(sum[:]) {
			t.Errorf("%s: the snapshot's source or digest differs from the file", f)
		}
	}
}

// Guards against an edit with a misspelt key that is silently ignored.
func TestUnknownKeyNamesLineAndKey(t *testing.T) {
	_, err := Compile("l.jsonc", []byte("{\n\"plans\": {\n\"a\": {\"wieght\": 2}}}"), 1)
	if err == nil || !strings.HasPrefix(err.Error(), `l.jsonc:3: key "plans.a.wieght": found an unknown key`) {
		t.Errorf("got %v", err)
	}
}
