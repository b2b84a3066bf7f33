package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthtide"
	"amaranthtide/standin/engine"
)

const (
	completionsPath = "/v1/chat/completions"

	minTurns, maxTurns = 3, 8
	longTurnShare      = 0.1
	longTurnFactor     = 3
	minWords, maxWords = 40, 160
	quickWords         = 20
	quickOutput        = 8
)

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatBody struct {
	Model     amaranthtide.ModelName `json:"model"`
	Stream    bool                   `json:"stream"`
	MaxTokens int                    `json:"max_tokens"`
	Messages  []message              `json:"messages"`
	// Metadata makes each body unique, so that its hash identifies the request.
	Metadata map[string]string `json:"metadata"`
}

// runChats holds one chat after another until startCtx is done.
func (w *worker) runChats(startCtx context.Context) {
	for {
		chat := "chat-" + w.nonce()
		messages := []message{{"system", "Appraisals of " + string(w.workspace) + " in " + chat + ". " + w.randomWords(maxWords)}}
		last := uint64(0)
		for range minTurns + w.random.IntN(maxTurns-minTurns+1) {
			if !w.pause(startCtx, w.load.cfg.Pause) {
				return
			}
			messages = append(messages, message{"user", w.randomWords(minWords + w.random.IntN(maxWords-minWords))})
			text, hash, ok := w.sendTurn(chat, messages, last)
			if !ok {
				// The next turn replaces the failed one with a new user message.
				messages = messages[:len(messages)-1]
				continue
			}
			last = hash
			messages = append(messages, message{"assistant", text})
		}
	}
}

// sendTurn sends one streamed request of a chat. last is the hash of the chat's previous
// body, or 0. It returns the expected text, the hash of the body, and whether the
// request was answered.
func (w *worker) sendTurn(chat string, messages []message, last uint64) (string, uint64, bool) {
	cfg := &w.load.cfg
	output := cfg.MinOutput + w.random.IntN(cfg.MaxOutput-cfg.MinOutput+1)
	if w.random.Float64() < longTurnShare {
		output = longTurnFactor * cfg.MaxOutput
	}
	body, want, ok := w.newBody(chatBody{Stream: true, MaxTokens: output, Messages: messages})
	if !ok {
		return "", 0, false
	}
	header := http.Header{"Content-Type": {"application/json"}, headerChat: {chat}}
	var r reuse
	startedAt := time.Now()
	if cfg.Observer != nil && last != 0 {
		if possible, held := cfg.Observer.CanReuseEngine(startedAt, last, body); possible {
			for _, m := range messages[:len(messages)-1] {
				r.possible += engine.MessageTokens(m.Content)
			}
			r.held = min(held, r.possible)
		}
	}
	a := w.try(http.MethodPost, completionsPath, header, body, func(resp *http.Response) answer {
		return readStream(resp.Body, want)
	})
	if a.outcome != answered {
		r = reuse{}
	} else if r.possible > 0 {
		r.cached = min(a.cachedTokens, r.possible)
	}
	w.recordRequest(string(amaranthtide.ClassStandard), startedAt, a, body, r)
	return want, xxhash.Sum64(body), a.outcome == answered
}

// runQuickRequests sends short requests of class quick until startCtx is done.
func (w *worker) runQuickRequests(startCtx context.Context) {
	for w.pause(startCtx, w.load.cfg.Pause) {
		messages := []message{{"user", "Caption. " + w.randomWords(quickWords)}}
		body, want, ok := w.newBody(chatBody{MaxTokens: quickOutput, Messages: messages})
		if !ok {
			return
		}
		class := string(amaranthtide.ClassQuick)
		header := http.Header{
			"Content-Type": {"application/json"}, headerClass: {class}, headerChat: {"caption-" + w.nonce()},
		}
		startedAt := time.Now()
		a := w.try(http.MethodPost, completionsPath, header, body, func(resp *http.Response) answer {
			return readCompletion(resp.Body, want)
		})
		w.recordRequest(class, startedAt, a, body, reuse{})
	}
}

// newBody returns a request body and the text that engines generate for it.
func (w *worker) newBody(b chatBody) ([]byte, string, bool) {
	b.Model, b.Metadata = w.load.cfg.Model, map[string]string{"request": w.nonce()}
	body, err := json.Marshal(b)
	if err != nil {
		return nil, "", false
	}
	want, err := engine.Answer(body)
	return body, want, err == nil
}

var vocabulary = strings.Fields("club fee entry heat lane relay medley split start turn wall final coach badge meet rank time swim pool award")

func (w *worker) randomWords(n int) string {
	var b strings.Builder
	for range n {
		b.WriteString(vocabulary[w.random.IntN(len(vocabulary))])
		b.WriteByte(' ')
	}
	return b.String()
}
