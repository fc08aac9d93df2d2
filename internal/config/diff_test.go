package config

import (
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const diffBase = `{
  "accounts": {"a": {"plan": "p", "keys_sha256": ["00"]}, "gone": {"plan": "p"}},
  "plans": {"p": {"rank": "bulk", "weight": 1, "pipelines": ["x"]}},
  "pipelines": {"x": {"stages": [{"name": "s1", "pool": "a"}, {"name": "s2", "pool": "b"}, {"name": "s3", "pool": "c"}]}}
}`

const diffEdited = `{
  // Comments and the order of keys are ignored.
  "pipelines": {"x": {"deadline_ms": 5, "stages": [{"name": "s2", "pool": "b", "top_k": 2}, {"name": "s1", "pool": "a"}, {"name": "s4", "pool": "c"}]}},
  "plans": {"p": {"weight": 2, "rank": "bulk", "pipelines": ["x", "y"]}},
  "accounts": {"a": {"keys_sha256": ["00"], "plan": "p"}, "new": {"plan": "p"}},
}`

// Guards against a conflict report that omits another operator's edit or reports a
// change of layout as an edit.
func TestDiffByKey(t *testing.T) {
	g := goldie.New(t)
	for name, docs := range map[string][2]string{"edited": {diffBase, diffEdited}, "same": {diffBase, "// version: 4\n" + diffBase}} {
		changes, err := Diff([]byte(docs[0]), []byte(docs[1]))
		if err != nil {
			t.Fatal(err)
		}
		var b strings.Builder
		for _, c := range changes {
			b.WriteString(c.String() + "\n")
		}
		g.Assert(t, "diff_"+name, []byte(b.String()))
	}
}
