package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"

	"eelgrassgrade/internal/jsonc"
)

// Change is one difference between two documents.
type Change struct {
	// Key is the dotted path. An element of a list of objects with names appears as
	// [name].
	Key string
	// Old and New are the values as compact JSON, empty if the key is absent.
	Old, New string
}

// String returns the change as one line, which begins with + for an added key, - for
// a removed key and ~ for a changed value.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return "+ " + c.Key + ": " + c.New
	case c.New == "":
		return "- " + c.Key + ": " + c.Old
	default:
		return "~ " + c.Key + ": " + c.Old + " -> " + c.New
	}
}

// Diff returns the differences between two JSON documents with comments, sorted by
// key. It ignores comments, layout and the order of keys.
func Diff(old, new []byte) ([]Change, error) {
	a, err := decodeDocument("old", old)
	if err != nil {
		return nil, err
	}
	b, err := decodeDocument("new", new)
	if err != nil {
		return nil, err
	}
	var d differ
	d.compare("", a, b)
	return d.changes, nil
}

// decodeDocument parses JSON with comments, keeping numbers as they are written.
func decodeDocument(file string, src []byte) (any, error) {
	doc, err := jsonc.Parse(file, src)
	if err != nil {
		return nil, err
	}
	dec := json.NewDecoder(bytes.NewReader(doc.JSON()))
	dec.UseNumber()
	var v any
	err = dec.Decode(&v)
	return v, err
}

// differ collects the changes found by compare.
type differ struct{ changes []Change }

// compare adds the differences between the values a and b of key.
func (d *differ) compare(key string, a, b any) {
	if reflect.DeepEqual(a, b) {
		return
	}
	am, aok := a.(map[string]any)
	bm, bok := b.(map[string]any)
	if aok && bok {
		d.compareMembers(am, bm, func(name string) string {
			if key == "" {
				return name
			}
			return key + "." + name
		})
		return
	}
	an, aNames, aok := objectsByName(a)
	bn, bNames, bok := objectsByName(b)
	if aok && bok {
		d.compareMembers(an, bn, func(name string) string { return key + "[" + name + "]" })
		if !reflect.DeepEqual(commonNames(aNames, bn), commonNames(bNames, an)) {
			d.add(key+" (order)", aNames, bNames)
		}
		return
	}
	d.add(key, a, b)
}

// compareMembers compares two objects member by member. path returns the key of a
// member.
func (d *differ) compareMembers(a, b map[string]any, path func(string) string) {
	all := map[string]bool{}
	for k := range a {
		all[k] = true
	}
	for k := range b {
		all[k] = true
	}
	for _, k := range sortedKeys(all) {
		x, inA := a[k]
		y, inB := b[k]
		switch {
		case !inA:
			d.changes = append(d.changes, Change{Key: path(k), New: compact(y)})
		case !inB:
			d.changes = append(d.changes, Change{Key: path(k), Old: compact(x)})
		default:
			d.compare(path(k), x, y)
		}
	}
}

func (d *differ) add(key string, a, b any) {
	d.changes = append(d.changes, Change{key, compact(a), compact(b)})
}

func compact(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(b)
}

// objectsByName indexes a list of objects by their "name" members and also returns the
// names in list order. ok is false unless v is a list of objects with distinct names.
func objectsByName(v any) (byName map[string]any, names []string, ok bool) {
	list, ok := v.([]any)
	if !ok {
		return nil, nil, false
	}
	byName = map[string]any{}
	for _, e := range list {
		m, _ := e.(map[string]any)
		name, isString := m["name"].(string)
		if _, dup := byName[name]; dup || !isString {
			return nil, nil, false
		}
		byName[name] = e
		names = append(names, name)
	}
	return byName, names, true
}

// commonNames returns those names that are also keys of other.
func commonNames(names []string, other map[string]any) []string {
	kept := []string{}
	for _, n := range names {
		if _, ok := other[n]; ok {
			kept = append(kept, n)
		}
	}
	return kept
}
