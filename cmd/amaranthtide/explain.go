package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"amaranthtide"
	"amaranthtide/cmd/internal/explain"
)

// explainCommand registers the command that prints the trace of a request.
func explainCommand(app *kingpin.Application) (string, action) {
	cmd := app.Command("explain", "Print the trace of one request from the logs of routers.")
	id := cmd.Arg("id", "Request identifier.").Required().String()
	files := cmd.Arg("file", "Log files.").Required().ExistingFiles()
	return cmd.FullCommand(), func(_ context.Context, s streams) error {
		return explain.Run(s.out, amaranthtide.RequestID(*id), *files)
	}
}

// crashesCommand registers the command that compares the prompts at crashed servers.
func crashesCommand(app *kingpin.Application) (string, action) {
	cmd := app.Command("crashes", "Print which parts of prompts were at crashed servers, from the logs of routers.")
	files := cmd.Arg("file", "Log files.").Required().ExistingFiles()
	return cmd.FullCommand(), func(_ context.Context, s streams) error { return explain.Crashes(s.out, *files) }
}
