package direct_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthtide"
	"amaranthtide/transport/direct"
)

// fakeStreams is a direct.Streams that knows the streams in versions.
type fakeStreams struct {
	mu       sync.Mutex
	versions map[amaranthtide.RequestID]amaranthtide.VersionName
}

func (f *fakeStreams) Began(_ context.Context, _ time.Time, req *amaranthtide.Request, in amaranthtide.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.versions[req.ID] = in.Version
}

func (f *fakeStreams) VersionOf(_ context.Context, _ time.Time, req *amaranthtide.Request) (amaranthtide.VersionName, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v, ok := f.versions[req.Resumes]
	if !ok {
		return "", amaranthtide.Errorf(amaranthtide.KindNoBackend, "unknown")
	}
	return v, nil
}

// newVersionedDispatcher returns a dispatcher with six engines, two of each of the versions v0, v1 and v2.
func newVersionedDispatcher(c *fakeSender) (*direct.Dispatcher, *fakeStreams) {
	streams := &fakeStreams{versions: make(map[amaranthtide.RequestID]amaranthtide.VersionName)}
	d, dir := newDispatcherWith(c, func(opts *direct.Options) { opts.Streams = streams })
	listed := dir.ByService("llm")
	for i := range listed {
		listed[i].Version = amaranthtide.VersionName(fmt.Sprint("v", i%3))
	}
	dir.Set(listed)
	d.SetRouters([]amaranthtide.VMName{"vm-1"})
	return d, streams
}

func versionOf(t *testing.T, d *direct.Dispatcher, streams *fakeStreams, id amaranthtide.RequestID) amaranthtide.VersionName {
	t.Helper()
	streams.mu.Lock()
	defer streams.mu.Unlock()
	return streams.versions[id]
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
		d, _ := newVersionedDispatcher(c)
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

// Guards against a take-up that goes to a server of another version, and against one whose version isn't known
// and that runs nevertheless.
func TestTakeUpGoesToItsVersion(t *testing.T) {
	is := is.New(t)
	c := &fakeSender{answerOnly: true, answer: func(ctx context.Context, a amaranthtide.Attempt, w amaranthtide.AnswerWriter) error {
		_ = breakOff(ctx, a, w)
		return nil
	}}
	d, streams := newVersionedDispatcher(c)
	for i := range 30 {
		v := amaranthtide.VersionName(fmt.Sprint("v", i%3))
		streams.versions["first"] = v
		req := streamRequest(fmt.Sprint("chat-", i))
		req.ResumesAfter, req.Resumes = "7", "first"
		is.NoErr(d.Serve(context.Background(), req, &discard{}))
		server := c.sent[len(c.sent)-1].Server
		is.Equal(fmt.Sprint("v", (server[len(server)-1]-'0')%3), string(v))
		is.Equal(versionOf(t, d, streams, req.ID), amaranthtide.VersionName("")) // the stream keeps its first name
	}
	sent := c.count()
	req := streamRequest("chat")
	req.ResumesAfter, req.Resumes = "7", "other"
	err := d.Serve(context.Background(), req, &discard{})
	is.Equal(amaranthtide.KindOf(err).Reply().Ran, amaranthtide.RanNo)
	streams.versions["gone"] = "v9"
	req.Resumes = "gone"
	err = d.Serve(context.Background(), req, &discard{})
	is.Equal(amaranthtide.KindOf(err).Reply().Ran, amaranthtide.RanNo)
	is.Equal(c.count(), sent)
}

// Guards against a prompt that an engine fetches from one of another version.
func TestPromptIsFetchedFromSameVersion(t *testing.T) {
	c := &fakeSender{}
	d, streams := newVersionedDispatcher(c)
	fetched := 0
	for i := range 60 {
		req := streamRequest(fmt.Sprint("chat-", i))
		req.PromptTokens, req.SharedTokens = 5000, 4000
		streams.versions["first"] = amaranthtide.VersionName(fmt.Sprint("v", i%3))
		req.ResumesAfter, req.Resumes = "7", "first" // keeps chats from their usual engines
		_ = d.Serve(context.Background(), req, &discard{})
	}
	for _, a := range c.sent {
		if !a.FetchFrom.IsValid() {
			continue
		}
		fetched++
		if to := int(a.Server[len(a.Server)-1] - '0'); int(a.FetchFrom.Port()-9000)%3 != to%3 {
			t.Errorf("got: %s fetches from %s, want: from an engine of its version", a.Server, a.FetchFrom)
		}
	}
	if fetched == 0 {
		t.Error("got: no fetch, want: some")
	}
}
