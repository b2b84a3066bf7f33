package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"amaranthtide"
)

// Prefix is the key prefix of all claims.
const Prefix amaranthtide.StoredKey = "claim/"

// StoredKey returns the row key of the claim for an idempotency key of a workspace.
// The idempotency key is chosen by the caller and may have any length and characters,
// so it is hashed.
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

// record is the value of a claim's row.
type record struct {
	State state `json:"state"`
	// Token identifies the claim that wrote `dispatched`. Later states keep it.
	Token      amaranthtide.WriteToken `json:"token"`
	Attempt    amaranthtide.AttemptID  `json:"attempt"`
	VM         amaranthtide.VMName     `json:"vm"`
	BodySHA256 string                  `json:"bodySha256"`
	// Time is the time of the last write by the writer's clock.
	Time   time.Time     `json:"time"`
	Answer *answerRecord `json:"answer,omitempty"`
	// Failure is the name of an error kind if the request was sent and has no complete
	// answer.
	Failure string `json:"failure,omitempty"`
}

type answerRecord struct {
	Status int           `json:"status"`
	Header []headerField `json:"header,omitempty"`
	Body   []byte        `json:"body,omitempty"`
	// Object is the name of the object that holds the body; empty if Body holds it.
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
	answer := Answer{Status: a.Status, Body: body}
	for _, f := range a.Header {
		answer.Header = append(answer.Header, amaranthtide.HeaderField(f))
	}
	return answer
}
