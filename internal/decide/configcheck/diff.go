package configcheck

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Change is a difference between two configurations.
type Change struct {
	List  List   `json:"list"`
	Entry string `json:"entry"`
	// Field is the field that differs; empty if the whole entry was added or removed.
	Field string `json:"field,omitempty"`
	// Before and After are empty for an entry that is not there.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// entry is one entry of a list, with its fields as text in their order.
type entry struct {
	name   string
	fields [][2]string
}

// Diff returns the differences between the configuration in force and a new one, in the
// order of their entries. API keys appear as the start of their hashes.
func Diff(before, after *Configuration) []Change {
	var changes []Change
	for _, l := range []struct {
		list          List
		before, after []entry
	}{
		{Routes, entriesOf(before.Routes, "Name"), entriesOf(after.Routes, "Name")},
		{Pools, entriesOf(before.Pools, "ID"), entriesOf(after.Pools, "ID")},
		{Accounts, entriesOf(hashKeys(before.Accounts), "ID"), entriesOf(hashKeys(after.Accounts), "ID")},
	} {
		changes = append(changes, diffList(l.list, l.before, l.after)...)
	}
	return changes
}

func diffList(list List, before, after []entry) []Change {
	var changes []Change
	for _, b := range before {
		i := indexOf(after, b.name)
		if i < 0 {
			changes = append(changes, Change{List: list, Entry: b.name, Before: b.String()})
			continue
		}
		for j, f := range b.fields {
			if now := after[i].fields[j][1]; now != f[1] {
				changes = append(changes, Change{list, b.name, f[0], f[1], now})
			}
		}
	}
	for _, a := range after {
		if indexOf(before, a.name) < 0 {
			changes = append(changes, Change{List: list, Entry: a.name, After: a.String()})
		}
	}
	return changes
}

func indexOf(list []entry, name string) int {
	return slices.IndexFunc(list, func(e entry) bool { return e.name == name })
}

// String returns the fields.
func (e entry) String() string {
	var set []string
	for _, f := range e.fields {
		set = append(set, f[0]+"="+f[1])
	}
	return strings.Join(set, " ")
}

// entriesOf returns structs, or pointers to them, as entries. All fields are compared, so
// that one that a configuration gains later is too.
func entriesOf[T any](list []T, nameField string) []entry {
	var entries []entry
	for _, item := range list {
		v := reflect.Indirect(reflect.ValueOf(item))
		e := entry{name: v.FieldByName(nameField).String()}
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() && f.Name != nameField {
				e.fields = append(e.fields, [2]string{f.Name, textOf(v.Field(i))})
			}
		}
		entries = append(entries, e)
	}
	return entries
}

// textOf returns a value as text, with what pointers point to.
func textOf(v reflect.Value) string {
	if v.Kind() == reflect.Pointer {
		if v.IsNil() {
			return "none"
		}
		v = v.Elem()
	}
	return fmt.Sprintf("%+v", v.Interface())
}

// hashKeys returns the accounts with hashes in place of their keys, which are secret.
func hashKeys(accounts []Account) []Account {
	hashed := slices.Clone(accounts)
	for i := range hashed {
		keys := make([]string, len(hashed[i].Keys))
		for j, key := range hashed[i].Keys {
			sum := sha256.Sum256([]byte(key))
			keys[j] = hex.EncodeToString(sum[:6])
		}
		slices.Sort(keys)
		hashed[i].Keys = keys
	}
	return hashed
}
