package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
)

//go:embed wire.json
var wireFile []byte

// wire holds the names of the platform's protocol that the stand-ins use.
var wire = mustParseWire(wireFile)

type wireNames struct {
	Variable   string `json:"variable"`
	RequestID  string `json:"requestID"`
	Stamp      string `json:"stamp"`
	Prompt     string `json:"prompt"`
	Tokens     string `json:"tokens"`
	Expected   string `json:"expected"`
	NotRun     string `json:"notRun"`
	RetryAfter string `json:"retryAfter"`
	Deadline   string `json:"deadline"`
	Credential string `json:"credential"`
	ReadRows   string `json:"readRows"`
	FeedRows   string `json:"feedRows"`
	WriteRows  string `json:"writeRows"`
	Once       string `json:"once"`
	Repeatable string `json:"repeatable"`
	ColdLeft   string `json:"coldLeft"`
}

func mustParseWire(data []byte) wireNames {
	var w wireNames
	if err := json.Unmarshal(data, &w); err != nil {
		panic(fmt.Sprintf("wire.json: %v", err))
	}
	return w
}
