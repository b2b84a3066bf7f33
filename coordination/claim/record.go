package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"amaranthtide"
)

// Prefix begins the keys of all claims.
const Prefix amaranthtide.StoredKey = "claim/"

// StoredKey returns the key of the claim of a workspace's idempotency key. The
// idempotency key is the caller's text and is hashed, so that its length and
// its characters don't matter.
func StoredKey(w amaranthtide.WorkspaceName, k amaranthtide.IdempotencyKey) amaranthtide.StoredKey {
	sum := sha256.Sum256([]byte(k))
	return Prefix + amaranthtide.StoredKey(w) + "/" + amaranthtide.StoredKey(hex.EncodeToString(sum[:]))
}

type state string

const (
	dispatched state = "dispatched"
	done       state = "done"
	released   state = "released"
)

// record is the content of a claim's row.
type record struct {
	State state `json:"state"`
	// Token is that of the claim that wrote `dispatched`. Later states keep it.
	Token      amaranthtide.Token     `json:"token"`
	Attempt    amaranthtide.AttemptID `json:"attempt"`
	VM         amaranthtide.VMName    `json:"vm"`
	BodySHA256 string                 `json:"bodySha256"`
	// Time is that of the last write by the writer's clock.
	Time   time.Time     `json:"time"`
	Answer *answerRecord `json:"answer,omitempty"`
	// Failure is the name of an error kind if the request was sent and there is
	// no whole answer.
	Failure string `json:"failure,omitempty"`
}

type answerRecord struct {
	Status int           `json:"status"`
	Header []headerField `json:"header,omitempty"`
	Body   []byte        `json:"body,omitempty"`
	// Object names the object that holds the body if it is not in the row.
	Object string `json:"object,omitempty"`
}

type headerField struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

func decodeRecord(row amaranthtide.StoredRow) (record, error) {
	var r record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return record{}, amaranthtide.Errorf(amaranthtide.KindInternal, "claim %q: %w", row.Key, err)
	}
	return r, nil
}

func encodeAnswer(a Answer) *answerRecord {
	stored := &answerRecord{Status: a.Status, Body: a.Body}
	for _, f := range a.Header {
		stored.Header = append(stored.Header, headerField(f))
	}
	return stored
}

func (a *answerRecord) withBody(body []byte) Answer {
	whole := Answer{Status: a.Status, Body: body}
	for _, f := range a.Header {
		whole.Header = append(whole.Header, amaranthtide.HeaderField(f))
	}
	return whole
}
