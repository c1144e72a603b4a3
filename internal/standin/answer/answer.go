// Package answer computes the answers of the stand-in engine. The text depends only
// on model and prompt, so that a client can check that an answer is complete and to
// its own prompt, and that any engine can resume the stream of another one.
package answer

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// An answer has from minTokens to minTokens+lengthRange-1 tokens if the request does
// not set max_tokens.
const (
	minTokens   = 16
	lengthRange = 64
)

// A token is a word of syllables pairs of a consonant and a vowel.
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

// Seed returns a hash of model and prompt, which determines the answer.
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

// Length returns the number of tokens of an answer: maxTokens, or if that is zero, a
// number determined by the seed.
func Length(seed uint64, maxTokens int) int {
	if maxTokens > 0 {
		return maxTokens
	}
	return minTokens + int(seed%lengthRange)
}

// Token returns the token with the given index, from 0: a word in lower case and a
// space.
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

// Text returns the text of the tokens with the indices from (inclusive) to to
// (exclusive).
func Text(seed uint64, from, to int) string {
	var text strings.Builder
	for n := from; n < to; n++ {
		text.WriteString(Token(seed, n))
	}
	return text.String()
}
