package engine

import (
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"amaranthtide"
	"amaranthtide/protocol/completion"
)

const (
	wordLetters = 5
	// bytesPerToken is the typical length of a prompt token.
	bytesPerToken = 4
)

// Answer returns the text that the engine generates for a request body: one word per
// token up to the request's output limit, each derived from a hash of the whole body.
// Every word, including the last, is followed by a space.
func Answer(body []byte) (string, error) {
	req, err := completion.ParseRequest(body)
	if err != nil {
		return "", err
	}
	return answerText(xxhash.Sum64(body), req.MaxOutput), nil
}

func answerText(seed uint64, tokens int) string {
	b := make([]byte, 0, tokens*(wordLetters+1))
	for i := range tokens {
		b = appendWord(b, seed, i)
	}
	return string(b)
}

// appendWord appends the word of the zero-based token i and a space. The word comes
// from the splitmix64 generator, whose constants are used here.
func appendWord(b []byte, seed uint64, i int) []byte {
	x := seed + uint64(i+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	for range wordLetters {
		b = append(b, 'a'+byte(x%26))
		x /= 26
	}
	return append(b, ' ')
}

// usage is the usage object of an answer.
type usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// eventStream builds the server-sent events of one answer. Events 1 to tokens carry
// one word each; the final three carry the finish reason, the usage and the [DONE]
// marker.
type eventStream struct {
	seed           uint64
	tokens         int
	prefix, suffix []byte
	id, model      string
	created        int64
}

const finalEvents = 3

func newEventStream(attempt amaranthtide.AttemptID, model amaranthtide.ModelName, created int64, seed uint64, tokens int) *eventStream {
	e := &eventStream{seed: seed, tokens: tokens, id: mustJSON("chatcmpl-" + string(attempt)), model: mustJSON(string(model)), created: created}
	e.prefix = []byte("data: " + e.objectHead("chat.completion.chunk") + `,"choices":[{"index":0,"delta":{"content":"`)
	e.suffix = []byte(`"},"finish_reason":null}]}` + "\n\n")
	return e
}

func (e *eventStream) objectHead(object string) string {
	return `{"id":` + e.id + `,"object":"` + object + `","created":` + strconv.FormatInt(e.created, 10) + `,"model":` + e.model
}

func (e *eventStream) count() int { return e.tokens + finalEvents }

// appendEvent appends event n, counted from 1.
func (e *eventStream) appendEvent(b []byte, n int, u usage) []byte {
	b = append(b, "id: "...)
	b = strconv.AppendInt(b, int64(n), 10)
	b = append(b, '\n')
	switch n - e.tokens {
	case 1:
		b = append(b, "data: "+e.objectHead("chat.completion.chunk")+`,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`...)
	case 2:
		b = append(b, "data: "+e.objectHead("chat.completion.chunk")+`,"choices":[],"usage":`+mustJSON(u)+`}`...)
	case finalEvents:
		b = append(b, "data: [DONE]"...)
	default:
		b = append(b, e.prefix...)
		b = appendWord(b, e.seed, n-1)
		return append(b, e.suffix...)
	}
	return append(b, "\n\n"...)
}

// completionObject returns the body of an answer that is not streamed.
func (e *eventStream) completionObject(u usage) []byte {
	return []byte(e.objectHead("chat.completion") + `,"choices":[{"index":0,"message":{"role":"assistant","content":` +
		mustJSON(answerText(e.seed, e.tokens)) + `},"finish_reason":"stop"}],"usage":` + mustJSON(u) + `}`)
}

// mustJSON returns the JSON encoding of v, which must be a string or a struct whose
// encoding can't fail.
func mustJSON(v any) string {
	b, _ := json.Marshal(v)
	return string(b)
}
