package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"amaranthtide"
	"amaranthtide/standin/application"
)

const (
	maxTries      = 6
	callPath      = "/entries"
	retryPause    = 200 * time.Millisecond
	maxRetryPause = time.Second
)

// runServiceCalls calls a plain service with idempotency keys until startCtx is done.
func (k *worker) runServiceCalls(startCtx context.Context) {
	for k.pause(startCtx, k.load.cfg.Pause) {
		k.call()
	}
}

// call makes one call, with up to maxTries tries of the same key and body.
func (k *worker) call() {
	nonce := k.nonce()
	key := amaranthtide.IdempotencyKey("key-" + nonce)
	body, err := json.Marshal(map[string]string{"entry": nonce, "text": k.randomWords(minWords)})
	if err != nil {
		return
	}
	want := application.Answer(http.MethodPost, callPath, "", body)
	path := "/services/" + string(k.load.cfg.Route) + callPath
	startedAt := time.Now()
	record := callRecord{key: key, notRun: true}
	var a answer
	for n := range maxTries {
		header := http.Header{"Content-Type": {"application/json"}, headerKey: {string(key)}}
		a = k.try(http.MethodPost, path, header, body, func(resp *http.Response) answer {
			return readPlain(resp.Body, want)
		})
		record.notRun = record.notRun && a.outcome == refused
		if a.outcome != refused && a.outcome != unknown || n == maxTries-1 {
			break
		}
		time.Sleep(min(max(a.retryAfter, retryPause), maxRetryPause))
	}
	if a.outcome == refused && !record.notRun {
		// An earlier try may have run.
		a.outcome = unknown
	}
	record.outcome = a.outcome
	k.load.stats.addCall(record)
	k.recordRequest(classCall, startedAt, a, body, reuse{})
}
