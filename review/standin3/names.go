package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesJSON []byte

// names holds the headers and paths of the platform's pages, which stand in a file of their
// own.
var names struct {
	RequestID, Seal, NotExecuted, Expect, Instance, Deadline, LastEvent string
	Ready, Get, Feed, Tx                                                string
}

func init() {
	if err := json.Unmarshal(namesJSON, &names); err != nil {
		panic(err)
	}
}
