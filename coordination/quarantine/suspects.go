package quarantine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"amaranthtide"
)

// wholeRequestPrefix starts the name of the suspect that stands for a whole request. It shares the
// type of prompt parts, whose names have no colon, so that both are judged and exchanged alike.
const wholeRequestPrefix = "request:"

// Subject is what the Ledger needs to know of a request. Create one with SubjectOf.
type Subject struct {
	Service amaranthtide.ServiceName
	// Prompt identifies the request: all that the caller sends again has the same one.
	Prompt amaranthtide.PromptHash
	// Suspects are what a crash under the request may be due to: each part of its prompt, and, as
	// the last one, the request as a whole.
	Suspects []amaranthtide.PromptPart
}

// SubjectOf returns the Subject of a request.
func SubjectOf(req *amaranthtide.Request) Subject {
	hash := requestHash(req)
	suspects := make([]amaranthtide.PromptPart, 0, len(req.PromptParts)+1)
	suspects = append(suspects, req.PromptParts...)
	suspects = append(suspects, amaranthtide.PromptPart(wholeRequestPrefix+strconv.FormatUint(uint64(hash), 16)))
	return Subject{Service: req.Service, Prompt: hash, Suspects: suspects}
}

// IsWholeRequest reports whether a suspect stands for a whole request.
func IsWholeRequest(p amaranthtide.PromptPart) bool {
	return strings.HasPrefix(string(p), wholeRequestPrefix)
}

// requestHash identifies a request that is sent again: by its prompt, or, without one, by what a
// server gets.
func requestHash(req *amaranthtide.Request) amaranthtide.PromptHash {
	if len(req.PromptParts) > 0 {
		return HashPrompt(req.PromptParts)
	}
	d := xxhash.New()
	for _, text := range []string{req.Method, req.Path, req.Query} {
		writeField(d, text)
	}
	_, _ = d.Write(req.Body) // writes to a hash return no error
	return amaranthtide.PromptHash(d.Sum64())
}

// HashPrompt returns the hash over the parts of a prompt.
func HashPrompt(parts []amaranthtide.PromptPart) amaranthtide.PromptHash {
	d := xxhash.New()
	for _, p := range parts {
		writeField(d, string(p))
	}
	return amaranthtide.PromptHash(d.Sum64())
}

// writeField adds a text and a separator to a hash.
func writeField(d *xxhash.Digest, text string) {
	_, _ = d.WriteString(text) // writes to a hash return no error
	_, _ = d.Write([]byte{0})
}
