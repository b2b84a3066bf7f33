package completion

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"hash"
	"io"
	"slices"
	"strconv"
	"strings"

	"crypto/sha256"

	"amaranthtide"
)

const (
	// DefaultMaxOutput is the output, in tokens, that is assumed for a request without
	// an output limit.
	DefaultMaxOutput = 256
	// MaxOutputLimit is the largest output limit of a request, so that costs can't overflow.
	MaxOutputLimit = 1 << 20
	// promptBytesPerCost is the number of prompt bytes that cost as much as one output
	// token: prefill of a prompt token (about four bytes) costs about half as much as an
	// output token.
	promptBytesPerCost = 8
)

// Message is one message of a chat.
type Message struct {
	Role string
	// Text is the text content. The texts of several parts are joined by newlines.
	Text string
}

// Request holds the parts of a chat completion request that routing needs.
type Request struct {
	// Model is empty if the request doesn't name a model.
	Model  amaranthtide.ModelName
	Stream bool
	// MaxOutput is the output limit in tokens, or DefaultMaxOutput if the request has none.
	MaxOutput int
	// User and PromptCacheKey may be empty.
	User           string
	PromptCacheKey string
	// Messages are all messages, or after ParseRouting the first system message and the first
	// user message.
	Messages []Message
	// Cost is the estimated work in output tokens. It is at least 1.
	Cost int
}

type requestJSON struct {
	Model               *string     `json:"model"`
	Stream              *bool       `json:"stream"`
	MaxTokens           *int        `json:"max_tokens"`
	MaxCompletionTokens *int        `json:"max_completion_tokens"`
	User                *string     `json:"user"`
	PromptCacheKey      *string     `json:"prompt_cache_key"`
	Messages            messageList `json:"messages"`
}

type messageJSON struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// content is the text of a message. Its JSON form is null, a string or a list of
// parts, of which all but the text parts are ignored.
type content string

// UnmarshalJSON implements json.Unmarshaler.
func (c *content) UnmarshalJSON(data []byte) error {
	switch {
	case bytes.Equal(data, []byte("null")):
		return nil
	case data[0] == '"':
		return json.Unmarshal(data, (*string)(c))
	case data[0] != '[':
		return errors.New("content must be a text or a list of parts")
	}
	var texts []string
	err := decodeElements(data, func(d *json.Decoder) error {
		var part struct {
			Type string `json:"type"`
			Text string `json:"text"`
		}
		if err := d.Decode(&part); err != nil {
			return err
		}
		if part.Type == "text" {
			texts = append(texts, part.Text)
		}
		return nil
	})
	*c = content(strings.Join(texts, "\n"))
	return err
}

// messageList is the list of messages. It is decoded one by one, since the list of very many
// short messages takes many times the memory of their text.
type messageList struct {
	// keepAll selects that all messages are kept, and not only those that name a chat.
	keepAll     bool
	kept        []Message
	n           int
	promptBytes int
	// withoutRole is the number of messages before the first one without a role, or -1.
	withoutRole int
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *messageList) UnmarshalJSON(data []byte) error {
	// Of a key that is repeated, the last value counts, as with other decoders.
	*l = messageList{keepAll: l.keepAll, withoutRole: -1}
	if bytes.Equal(data, []byte("null")) {
		return nil
	}
	if data[0] != '[' {
		return errors.New("messages must be a list")
	}
	return decodeElements(data, func(d *json.Decoder) error {
		var m messageJSON
		if err := d.Decode(&m); err != nil {
			return err
		}
		l.add(Message{m.Role, string(m.Content)})
		return nil
	})
}

func (l *messageList) add(m Message) {
	if m.Role == "" && l.withoutRole < 0 {
		l.withoutRole = l.n
	}
	l.n++
	l.promptBytes += len(m.Text)
	hasRole := func(k Message) bool { return k.Role == m.Role }
	if l.keepAll || slices.Contains(chatRoles, m.Role) && !slices.ContainsFunc(l.kept, hasRole) {
		l.kept = append(l.kept, m)
	}
}

// decodeElements calls decode for each element of a JSON list.
func decodeElements(data []byte, decode func(d *json.Decoder) error) error {
	d := json.NewDecoder(bytes.NewReader(data))
	if _, err := d.Token(); err != nil {
		return err
	}
	for d.More() {
		if err := decode(d); err != nil {
			return err
		}
	}
	return nil
}

// ParseRequest parses a request body. It doesn't check fields that routing doesn't need.
// Errors are KindBadRequest.
func ParseRequest(body []byte) (Request, error) { return parse(body, true) }

// ParseRouting is like ParseRequest, but keeps only the messages that name a chat. Besides a
// copy of the longest texts it takes little memory, however many messages there are.
func ParseRouting(body []byte) (Request, error) { return parse(body, false) }

func parse(body []byte, keepAll bool) (Request, error) {
	j := requestJSON{Messages: messageList{keepAll: keepAll, withoutRole: -1}}
	if err := json.Unmarshal(body, &j); err != nil {
		var syntaxErr *json.SyntaxError
		if errors.As(err, &syntaxErr) && strings.Contains(err.Error(), "after top-level value") {
			return Request{}, badRequest("body has data after the JSON object")
		}
		return Request{}, badRequest("body is not valid: %w", err)
	}
	if j.Messages.n == 0 {
		return Request{}, badRequest("messages is missing or empty")
	}
	req := Request{
		Model:          amaranthtide.ModelName(valueOrZero(j.Model)),
		Stream:         valueOrZero(j.Stream),
		MaxOutput:      DefaultMaxOutput,
		User:           valueOrZero(j.User),
		PromptCacheKey: valueOrZero(j.PromptCacheKey),
		Messages:       j.Messages.kept,
	}
	for _, limit := range []*int{j.MaxTokens, j.MaxCompletionTokens} {
		if limit == nil {
			continue
		}
		if *limit < 1 || *limit > MaxOutputLimit {
			return Request{}, badRequest("output limit %d is not in the range 1 to %d", *limit, MaxOutputLimit)
		}
		req.MaxOutput = *limit
	}
	if i := j.Messages.withoutRole; i >= 0 {
		return Request{}, badRequest("message %d has no role", i)
	}
	req.Cost = max(1, j.Messages.promptBytes/promptBytesPerCost+req.MaxOutput)
	return req, nil
}

// chatRoles are the roles whose first messages name a chat.
var chatRoles = []string{"system", "user"}

// DerivedChat returns a chat identifier derived from the model and from the first
// system message and the first user message. The identifier stays the same when a
// caller resends the history of a chat with new messages appended.
func (r Request) DerivedChat() amaranthtide.ChatID {
	h := sha256.New()
	writeLengthPrefixed(h, string(r.Model))
	for _, role := range chatRoles {
		for _, m := range r.Messages {
			if m.Role == role {
				writeLengthPrefixed(h, role)
				writeLengthPrefixed(h, m.Text)
				break
			}
		}
	}
	return amaranthtide.ChatID(hex.EncodeToString(h.Sum(nil)[:16]))
}

// writeLengthPrefixed writes the length of part and then part, so that two different
// lists of parts never have the same hash input.
func writeLengthPrefixed(h hash.Hash, part string) {
	_, _ = io.WriteString(h, strconv.Itoa(len(part))+":"+part)
}

func valueOrZero[T any](p *T) T {
	if p == nil {
		var zero T
		return zero
	}
	return *p
}

func badRequest(format string, args ...any) error {
	return amaranthtide.Errorf(amaranthtide.KindBadRequest, "chat completion: "+format, args...)
}
