// Package answer computes the text that the stand-in engine answers. The text
// is a function of model and prompt, so that a client can check that an answer
// is whole and its own, and so that any engine can resume the stream of another.
package answer

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Lengths of answers when the request does not set max_tokens, in tokens.
const (
	leastTokens  = 16
	spreadTokens = 64
)

const (
	consonants = "bcdfghjklmnprstv"
	vowels     = "aeiou"
	syllables  = 3
)

// Message is one message of a prompt.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Seed identifies the answer to a prompt of a model.
func Seed(model string, messages []Message) uint64 {
	digest := xxhash.New()
	write := func(text string) {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(text)))
		// Writes to a digest cannot fail.
		_, _ = digest.Write(size[:])
		_, _ = digest.WriteString(text)
	}
	write(model)
	for _, m := range messages {
		write(m.Role)
		write(m.Content)
	}
	return digest.Sum64()
}

// Length returns the number of tokens of an answer. A maxTokens of zero leaves
// the length to the seed; otherwise the answer has exactly maxTokens tokens.
func Length(seed uint64, maxTokens int) int {
	if maxTokens > 0 {
		return maxTokens
	}
	return leastTokens + int(seed%spreadTokens)
}

// Token returns the token with the given index, from 0. It ends in a space and
// consists of lower-case letters otherwise.
func Token(seed uint64, index int) string {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], seed)
	binary.LittleEndian.PutUint64(key[8:], uint64(index))
	hash := xxhash.Sum64(key[:])
	word := make([]byte, 0, 2*syllables+1)
	for range syllables {
		word = append(word, consonants[hash%uint64(len(consonants))])
		hash /= uint64(len(consonants))
		word = append(word, vowels[hash%uint64(len(vowels))])
		hash /= uint64(len(vowels))
	}
	return string(append(word, ' '))
}

// Text returns the tokens with the indices from (inclusive) to (exclusive).
func Text(seed uint64, from, to int) string {
	var text strings.Builder
	for n := from; n < to; n++ {
		text.WriteString(Token(seed, n))
	}
	return text.String()
}
