package direct_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"amaranthtide"
	"amaranthtide/transport/direct"
)

// newVersionedDispatcher returns a dispatcher with six engines, two of each of the versions v0, v1 and v2.
func newVersionedDispatcher(c *fakeSender) *direct.Dispatcher {
	d, dir := newDispatcherWith(c, func(*direct.Options) {})
	listed := dir.ByService("llm")
	for i := range listed {
		listed[i].Version = amaranthtide.VersionName(fmt.Sprint("v", i%3))
	}
	dir.Set(listed)
	d.SetRouters([]amaranthtide.VMName{"vm-1"})
	return d
}

func streamRequest(chat string) *amaranthtide.Request {
	req := request("llm", chat, true)
	req.Resumable, req.Stream, req.PauseTimeout = true, true, time.Second
	return req
}

// breakOff writes one event and breaks the stream off.
func breakOff(_ context.Context, a amaranthtide.Attempt, w amaranthtide.AnswerWriter) error {
	head := amaranthtide.AnswerHead{Attempt: a.Request.Attempt, Server: a.Server, Status: 200, Header: []amaranthtide.HeaderField{{Name: "Content-Type", Value: "text/event-stream"}}}
	if err := w.Head(head); err != nil {
		return err
	}
	if err := w.Chunk([]byte("id: 1\ndata: x\n\n")); err != nil {
		return err
	}
	return amaranthtide.Errorf(amaranthtide.KindTruncated, "broken off")
}

// Guards against an answer that goes on at a server of another version after the first one has broken off.
func TestStreamGoesOnAtItsVersion(t *testing.T) {
	for i := range 30 {
		c := &fakeSender{answer: breakOff}
		d := newVersionedDispatcher(c)
		req := streamRequest(fmt.Sprint("chat-", i))
		req.MaxAttempts = 6
		if err := d.Serve(context.Background(), req, &discard{}); err == nil {
			t.Fatal("got: no error, want: the stream is broken off")
		}
		if len(c.sent) != 2 { // the two servers of its version
			t.Errorf("got: %d attempts, want: 2", len(c.sent))
		}
		if first, second := c.sent[0].Server, c.sent[len(c.sent)-1].Server; (first[len(first)-1]-'0')%3 != (second[len(second)-1]-'0')%3 {
			t.Errorf("got: a stream of %s goes on at %s, want: a server of its version", first, second)
		}
	}
}
