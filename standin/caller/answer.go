package caller

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"amaranthtide"
	"amaranthtide/protocol/reply"
)

// outcome is the result of one try or request; see the package documentation.
type outcome uint8

const (
	unknown outcome = iota
	answered
	refused
	failed
	wrong
	truncated
	outcomeCount
)

const maxAnswerBytes = 16 << 20

// answer is what a caller observed of the response to one try.
type answer struct {
	outcome outcome
	// kind is the error kind that the router reported, or empty.
	kind string
	// firstText is the time at which the first text arrived, or zero if none did.
	firstText    time.Time
	retryAfter   time.Duration
	promptTokens int
	cachedTokens int
}

// completionObject holds the checked fields of chat.completion and chat.completion.chunk
// objects.
type completionObject struct {
	Choices []struct {
		Delta   struct{ Content string } `json:"delta"`
		Message struct{ Content string } `json:"message"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens int `json:"prompt_tokens"`
		Details      struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// readStream reads an event stream to its end and compares its text with want.
func readStream(body io.Reader, want string) answer {
	var a answer
	var text strings.Builder
	r := bufio.NewReaderSize(body, 4<<10)
	done, isError := false, false
	for {
		line, err := r.ReadSlice('\n')
		switch {
		case errors.Is(err, io.EOF) && len(line) == 0:
			if a.kind != "" {
				return a.withErrorEvent(text.String(), want)
			}
			// A caller takes a stream as complete if its HTTP response is, even without
			// the [DONE] event.
			a.outcome = compare(text.String(), want)
			if a.outcome == answered && !done {
				a.outcome = truncated
			}
			return a
		case err != nil && !errors.Is(err, io.EOF):
			if done {
				a.outcome = compare(text.String(), want)
			}
			return a.checkPrefix(text.String(), want)
		}
		line = bytes.TrimSpace(line)
		if name, ok := bytes.CutPrefix(line, []byte("event:")); ok {
			isError = string(bytes.TrimSpace(name)) == "error"
			continue
		}
		data, ok := bytes.CutPrefix(line, []byte("data:"))
		data = bytes.TrimSpace(data)
		switch {
		case len(line) == 0:
			isError = false
		case !ok:
		case isError:
			a.outcome, a.kind, a.retryAfter = parseError(data)
		case string(data) == "[DONE]":
			done = true
		default:
			a.addObject(data, &text)
		}
	}
}

// addObject adds the text and the usage of one JSON object.
func (a *answer) addObject(data []byte, text *strings.Builder) {
	var c completionObject
	if json.Unmarshal(data, &c) != nil {
		// The undecodable data makes the comparison with the expected text fail.
		text.Write(data)
		return
	}
	for _, choice := range c.Choices {
		if a.firstText.IsZero() && choice.Delta.Content+choice.Message.Content != "" {
			a.firstText = time.Now()
		}
		text.WriteString(choice.Delta.Content)
		text.WriteString(choice.Message.Content)
	}
	if c.Usage != nil {
		a.promptTokens, a.cachedTokens = c.Usage.PromptTokens, c.Usage.Details.CachedTokens
	}
}

// withErrorEvent returns the answer of a stream that ended with an error event. A refusal
// after text has arrived counts as a failure, since the request must have run.
func (a answer) withErrorEvent(text, want string) answer {
	if a.outcome == refused && text != "" {
		a.outcome = failed
	}
	return a.checkPrefix(text, want)
}

// checkPrefix marks an incomplete answer as wrong unless its text is a prefix of the
// expected one.
func (a answer) checkPrefix(text, want string) answer {
	if !strings.HasPrefix(want, text) {
		a.outcome = wrong
	}
	return a
}

func compare(text, want string) outcome {
	switch {
	case text == want:
		return answered
	case strings.HasPrefix(want, text):
		return truncated
	default:
		return wrong
	}
}

// readCompletion reads a chat completion that is not streamed and compares its text with
// want.
func readCompletion(body io.Reader, want string) answer {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return answer{}
	}
	var a answer
	var text strings.Builder
	if !json.Valid(data) {
		// A truncated body still starts like a JSON object.
		a.outcome = truncated
		if len(data) > 0 && data[0] != '{' {
			a.outcome = wrong
		}
		return a
	}
	a.addObject(data, &text)
	a.outcome = compare(text.String(), want)
	return a
}

// readPlain reads the answer of a plain service and compares it with want.
func readPlain(body io.Reader, want string) answer {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return answer{}
	}
	return answer{outcome: compare(string(data), want), firstText: time.Now()}
}

// readError reads an answer with a status other than 200.
func readError(resp *http.Response) answer {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return answer{}
	}
	var a answer
	a.outcome, a.kind, a.retryAfter = parseError(data)
	return a
}

// parseError decodes the JSON form of an error into an outcome, the error kind and the
// time to wait before a retry. The outcome is unknown if the error doesn't state whether
// the request ran.
func parseError(data []byte) (outcome, string, time.Duration) {
	var b reply.Body
	if json.Unmarshal(data, &b) != nil || b.Error.Kind == "" {
		return unknown, "unreadable", 0
	}
	wait := time.Duration(b.Error.RetryAfterMillis) * time.Millisecond
	switch b.Error.Ran {
	case amaranthtide.RanNo.String():
		return refused, b.Error.Kind, wait
	case amaranthtide.RanYes.String():
		return failed, b.Error.Kind, wait
	default:
		return unknown, b.Error.Kind, wait
	}
}
