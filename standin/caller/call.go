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
func (w *worker) runServiceCalls(startCtx context.Context) {
	for w.pause(startCtx, w.load.cfg.Pause) {
		w.call()
	}
}

// call makes one call, with up to maxTries tries of the same key and body.
func (w *worker) call() {
	nonce := w.nonce()
	key := amaranthtide.IdempotencyKey("key-" + nonce)
	body, err := json.Marshal(map[string]string{"entry": nonce, "text": w.randomWords(minWords)})
	if err != nil {
		return
	}
	want := application.Answer(http.MethodPost, callPath, "", body)
	path := "/services/" + string(w.load.cfg.Route) + callPath
	startedAt := time.Now()
	record := callRecord{key: key, notRun: true}
	var a answer
	for n := range maxTries {
		header := http.Header{"Content-Type": {"application/json"}, headerKey: {string(key)}}
		a = w.try(http.MethodPost, path, header, body, func(resp *http.Response) answer {
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
	w.load.stats.addCall(record)
	w.recordRequest(classCall, startedAt, a, body, reuse{})
}
