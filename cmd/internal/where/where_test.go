package where_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthtide"
	"amaranthtide/cmd/internal/where"
	"amaranthtide/platform"
	"amaranthtide/platform/standin"
	"amaranthtide/state/declared"
)

// explainer is an amaranthtide.Explainer that keeps the last request.
type explainer struct {
	last      *amaranthtide.Request
	bodyBytes int
}

func (e *explainer) Explain(now time.Time, req *amaranthtide.Request, bodyBytes int) amaranthtide.Explanation {
	e.last, e.bodyBytes = req, bodyBytes
	return amaranthtide.Explanation{
		At: now, Service: req.Service, Engine: true, Chosen: "e2", Cap: &amaranthtide.ExplainedCap{Multiple: 2, Extra: 3, Mean: 1.5, MaxLoad: 6},
		Candidates: []amaranthtide.ExplainedCandidate{{Server: "e1", Load: 6, OverCap: true, Admits: true, InTime: true}, {Server: "e2", Chance: 1, Cold: true, Admits: true, InTime: true}},
		Excluded: []amaranthtide.ExcludedServer{
			{Server: "e3", Reason: amaranthtide.ExclusionPause, Until: now.Add(2 * time.Second)},
			{Server: "e4", Reason: amaranthtide.ExclusionRate, Until: now.Add(3 * time.Second)},
		},
	}
}

// Guards against a question that loses a part of the request on its way, against a key in a URL, and
// against a table without the choice or the reasons.
func TestAskAndPrint(t *testing.T) {
	is := is.New(t)
	value, err := json.Marshal(standin.Config(1, "secret"))
	is.NoErr(err)
	row, err := platform.RowDecoder{}.Decode(time.Now(), amaranthtide.FeedRow{Table: "op", Key: "config", Version: ver(1), Value: value})
	is.NoErr(err)
	cfg, _ := row.Configuration.Get()
	current, e, uri := declared.New(), &explainer{}, ""
	current.Apply(cfg)
	h := platform.NewExplainHandler(current, e)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		uri = r.RequestURI
		h.ServeHTTP(w, r)
	}))
	defer srv.Close()
	q := where.Question{
		Router: netip.MustParseAddrPort(srv.Listener.Addr().String()), Method: "POST", Host: "shop.example", Path: "/chat/1?x=%20", BodyBytes: 900,
		Header: []string{"Credential: secret", standin.HeaderPromptPrefix + ": a:800,b:50", "Request-Id:r1"},
	}
	x, err := q.Ask(t.Context())
	is.NoErr(err)
	is.Equal([]any{e.last.ID, e.last.Workspace, e.last.Method, e.last.Path, e.last.Query, e.last.PromptTokens, e.bodyBytes}, []any{amaranthtide.RequestID("r1"), amaranthtide.WorkspaceName("club"), "POST", "/chat/1", "x=%20", 850, 900})
	is.True(!strings.Contains(uri, "secret"))
	var out bytes.Buffer
	is.NoErr(where.Print(&out, x))
	for _, want := range []string{"goes to  e2", "load 6 with the request = 2 x mean 1.5", "over the cap", "chosen, cold", "pause, ends in 2s", "rate limit, next in 3s"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("got: %s, want: %q in it", out.String(), want)
		}
	}
	q.Header, q.Path = []string{"secret"}, "chat"
	if _, err = q.Ask(t.Context()); err == nil || strings.Contains(err.Error(), "secret") {
		t.Errorf("got: %v, want: an error without the field", err)
	}
	q.Header = nil
	_, err = q.Ask(t.Context())
	is.True(err != nil && strings.Contains(err.Error(), "400"))
}

func ver(n uint64) amaranthtide.StoreVersion { return amaranthtide.NewStoreVersion(0, n) }
