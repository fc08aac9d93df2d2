// Package jsonc strictly decodes JSON with comments. An unknown key, a duplicate
// key or a value of the wrong type is reported as an Error, which names the file,
// the line, the key, the value found and the values allowed.
package jsonc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/tailscale/hujson"
)

// Error describes the first invalid value found in a JSON document.
type Error struct {
	File string
	// Line is the line number, starting at 1.
	Line int
	// Key is the dotted path of the value, such as "pools.generator.slots".
	Key string
	// Found describes the value in the document, Allowed the permitted values.
	Found   string
	Allowed string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d: key %q: found %s, allowed: %s", e.File, e.Line, e.Key, e.Found, e.Allowed)
}

// Document is a parsed document that knows the line number of each key.
type Document struct {
	file string
	// newlineOffsets holds the byte offset of every newline, in ascending order.
	newlineOffsets []int
	// lineOfKey maps the dotted path of a value to its line number.
	lineOfKey    map[string]int
	standardJSON []byte
}

// Parse parses src and records the line of each key. Syntax errors and duplicate
// keys are returned as an *Error that refers to file.
func Parse(file string, src []byte) (*Document, error) {
	// The parsed value aliases its input and Standardize overwrites the comments in
	// place. Without the copy, the caller's src would lose its comments.
	v, err := hujson.Parse(bytes.Clone(src))
	if err != nil {
		return nil, &Error{File: file, Line: syntaxLine(err), Found: "broken JSON: " + err.Error(), Allowed: "JSON with comments"}
	}
	d := &Document{file: file, lineOfKey: map[string]int{}}
	for i, b := range src {
		if b == '\n' {
			d.newlineOffsets = append(d.newlineOffsets, i)
		}
	}
	if err := d.indexLines(v, ""); err != nil {
		return nil, err
	}
	v.Standardize()
	d.standardJSON = v.Pack()
	return d, nil
}

// syntaxLine extracts the line number from the text of a hujson syntax error.
func syntaxLine(err error) int {
	line := 1
	_, afterLine, ok := strings.Cut(err.Error(), "line ")
	if ok {
		fmt.Sscanf(afterLine, "%d", &line)
	}
	return line
}

func (d *Document) lineAt(offset int) int {
	return 1 + sort.SearchInts(d.newlineOffsets, offset)
}

// indexLines records the lines of v and of the values in it, and reports
// duplicate keys.
func (d *Document) indexLines(v hujson.Value, path string) error {
	d.lineOfKey[path] = d.lineAt(v.StartOffset)
	switch x := v.Value.(type) {
	case *hujson.Object:
		for _, m := range x.Members {
			key := joinPath(path, m.Name.Value.(hujson.Literal).String())
			if _, dup := d.lineOfKey[key]; dup {
				return &Error{File: d.file, Line: d.lineAt(m.Name.StartOffset), Key: key, Found: "the key a second time", Allowed: "each key once"}
			}
			if err := d.indexLines(m.Value, key); err != nil {
				return err
			}
		}
	case *hujson.Array:
		for i, e := range x.Elements {
			if err := d.indexLines(e, fmt.Sprintf("%s[%d]", path, i)); err != nil {
				return err
			}
		}
	}
	return nil
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// Line returns the line of the value at the dotted path key. If there is no such
// value, it returns the line of the closest enclosing one.
func (d *Document) Line(key string) int {
	for {
		if l, ok := d.lineOfKey[key]; ok {
			return l
		}
		i := strings.LastIndexAny(key, ".[")
		if i < 0 {
			return d.lineOfKey[""]
		}
		key = key[:i]
	}
}

// ErrorAt returns an *Error for the value at the dotted path key. found describes
// that value, allowed the permitted ones.
func (d *Document) ErrorAt(key, found, allowed string) *Error {
	return &Error{File: d.file, Line: d.Line(key), Key: key, Found: found, Allowed: allowed}
}

// JSON returns the document as standard JSON.
func (d *Document) JSON() []byte { return d.standardJSON }

// Decode stores the document in the struct that out points to. It rejects keys
// without a matching field.
func (d *Document) Decode(out any) error {
	if err := d.checkKeys(d.standardJSON, reflect.TypeOf(out).Elem(), ""); err != nil {
		return err
	}
	return d.unmarshal(out)
}

func (d *Document) unmarshal(out any) error {
	err := json.Unmarshal(d.standardJSON, out)
	if te, ok := err.(*json.UnmarshalTypeError); ok {
		return d.ErrorAt(te.Field, "a "+te.Value, "a value of type "+te.Type.String())
	}
	if err != nil {
		return d.ErrorAt("", err.Error(), "a valid value")
	}
	return nil
}

// checkKeys walks raw and the Go type t in parallel and reports the first object
// key for which t has no field.
func (d *Document) checkKeys(raw json.RawMessage, t reflect.Type, path string) error {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch t.Kind() {
	case reflect.Struct:
		return d.checkFields(raw, t, path)
	case reflect.Map:
		var m map[string]json.RawMessage
		if json.Unmarshal(raw, &m) != nil {
			return nil
		}
		for _, k := range sortedKeys(m) {
			if err := d.checkKeys(m[k], t.Elem(), joinPath(path, k)); err != nil {
				return err
			}
		}
	case reflect.Slice:
		var s []json.RawMessage
		if json.Unmarshal(raw, &s) != nil {
			return nil
		}
		for i, e := range s {
			if err := d.checkKeys(e, t.Elem(), fmt.Sprintf("%s[%d]", path, i)); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkFields implements checkKeys for the struct type t. Types with their own
// UnmarshalJSON method check their keys themselves.
func (d *Document) checkFields(raw json.RawMessage, t reflect.Type, path string) error {
	if reflect.PointerTo(t).Implements(reflect.TypeFor[json.Unmarshaler]()) {
		return nil
	}
	var m map[string]json.RawMessage
	if json.Unmarshal(raw, &m) != nil {
		return nil
	}
	fields := map[string]reflect.Type{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = t.Field(i).Type
		}
	}
	for _, k := range sortedKeys(m) {
		ft, ok := fields[k]
		if !ok {
			return d.ErrorAt(joinPath(path, k), "an unknown key", strings.Join(sortedKeys(fields), ", "))
		}
		if err := d.checkKeys(m[k], ft, joinPath(path, k)); err != nil {
			return err
		}
	}
	return nil
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
