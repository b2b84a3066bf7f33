package main

import (
	"context"
	"net/netip"

	"github.com/alecthomas/kingpin/v2"

	"amaranthtide"
	"amaranthtide/cmd/internal/where"
)

// whereCommand registers the command that tells where a request would go.
func whereCommand(app *kingpin.Application) (string, action) {
	var q where.Question
	cmd := app.Command("where", "Ask a router of the users' platform where it would send a request now, and why. Nothing is sent.")
	router := cmd.Flag("router", "Metrics address of the router, as IP:PORT.").Required().String()
	cmd.Flag("host", "Host of the request.").Required().StringVar(&q.Host)
	cmd.Flag("path", "Path of the request, with its query if it has one.").Required().StringVar(&q.Path)
	cmd.Flag("method", "Method of the request.").Default("GET").StringVar(&q.Method)
	cmd.Flag("header", "Header field of the request, as NAME: VALUE; may be repeated.").StringsVar(&q.Header)
	cmd.Flag("body-bytes", "Size of the body.").IntVar(&q.BodyBytes)
	asJSON := cmd.Flag("json", "Print JSON.").Bool()
	return cmd.FullCommand(), func(ctx context.Context, s streams) error {
		var err error
		if q.Router, err = netip.ParseAddrPort(*router); err != nil {
			return amaranthtide.Errorf(amaranthtide.KindBadRequest, "router %q: want IP:PORT", *router)
		}
		e, err := q.Ask(ctx)
		if err != nil {
			return err
		}
		if *asJSON {
			return printJSON(s.out, e)
		}
		return where.Print(s.out, e)
	}
}
