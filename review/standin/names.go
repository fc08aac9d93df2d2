package main

import (
	_ "embed"
	"encoding/json"
)

// namesJSON holds the headers and paths of the platform's protocol.
//
//go:embed names.json
var namesJSON []byte

// names are the headers and paths of the platform's protocol.
var names struct {
	RequestID       string `json:"request_id"`
	Deadline        string `json:"deadline"`
	Seal            string `json:"seal"`
	NotExecuted     string `json:"not_executed"`
	ExpectInstance  string `json:"expect_instance"`
	InstanceID      string `json:"instance_id"`
	LastEventID     string `json:"last_event_id"`
	RequestPriority string `json:"request_priority"`
	Model           string `json:"model"`
	TokenCount      string `json:"token_count"`
	PromptPrefix    string `json:"prompt_prefix"`
	Tenant          string `json:"tenant"`
	Pieces          string `json:"pieces"`
	PieceKey        string `json:"piece_key"`
	Inputs          string `json:"inputs"`
	PathStageRun    string `json:"path_stage_run"`
	PathStageFree   string `json:"path_stage_free"`
	PathReady       string `json:"path_ready"`
	PathRowsGet     string `json:"path_rows_get"`
	PathRowsFeed    string `json:"path_rows_feed"`
	PathRowsTx      string `json:"path_rows_tx"`
}

func init() {
	if err := json.Unmarshal(namesJSON, &names); err != nil {
		panic(err)
	}
}
