package main

import (
	_ "embed"
	"encoding/json"
)

// namesJSON holds the names of the platform's wire.
//
//go:embed names.json
var namesJSON []byte

var names = loadNames()

func loadNames() map[string]string {
	m := map[string]string{}
	if err := json.Unmarshal(namesJSON, &m); err != nil {
		panic(err)
	}
	return m
}
