package engine_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"amaranthtide/transport/engine"
)

// discard counts events without storing them.
type discard struct{ recorder }

func (d *discard) Chunk(b []byte) error {
	d.chunks += bytes.Count(b, []byte("\n\n"))
	return nil
}

// BenchmarkStream measures how fast the client reads streams of 2,000 events of one token
// each, which the server flushes one or 16 at a time. The time includes the server's work.
func BenchmarkStream(b *testing.B) {
	const tokens = 2000
	event := []byte("id: 17\ndata: {\"id\":\"chatcmpl-0123456789abcdef01234567\",\"object\":\"chat.completion.chunk\",\"created\":1700000000," +
		"\"model\":\"m\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"abcde \"},\"finish_reason\":null}]}\n\n")
	for _, flush := range []struct {
		name   string
		events int
	}{{"flush=1", 1}, {"flush=16", 16}} {
		b.Run(flush.name, func(b *testing.B) {
			part := bytes.Repeat(event, flush.events)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				w.Header().Set("Amaranthtide-Attempt", r.Header.Get("Amaranthtide-Attempt"))
				for range tokens / flush.events {
					_, _ = w.Write(part)
					w.(http.Flusher).Flush()
				}
				_, _ = w.Write([]byte("data: [DONE]\n\n"))
			}))
			defer s.Close()
			addr := netip.MustParseAddrPort(s.Listener.Addr().String())
			c := engine.New(engine.Config{})
			defer c.Close()
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				d := &discard{}
				if err := c.Serve(context.Background(), addr, request(true, tokens, "q"), d); err != nil {
					b.Fatal(err)
				}
				n += d.chunks
			}
			b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "tokens/s")
		})
	}
}
