// Package answer defines the text that every stand-in engine gives to a prompt.
// It follows from the prompt alone, so that any engine can go on with an answer
// that another began and a load program can tell a whole answer from a mixed-up
// one.
package answer

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/thymerack/thymerack/protocol/engineapi"
)

// Reasons why an answer ends.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// lengthWord marks a prompt word that sets the length of the answer, len=N.
const lengthWord = "len="

// Text returns the prompt, or the contents of the messages of a chat call, one
// a line.
func Text(prompt string, messages []engineapi.Message) string {
	if len(messages) == 0 {
		return prompt
	}
	contents := make([]string, len(messages))
	for i, m := range messages {
		contents[i] = m.Content
	}
	return strings.Join(contents, "\n")
}

// Key returns the eight hex digits that every token of the answer to text begins
// with.
func Key(text string) string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(text)))
}

// Token returns token i, counted from 0, of the answer with that key.
func Token(key string, i int) string {
	return key + ":" + strconv.Itoa(i) + " "
}

// Words counts the tokens of a prompt: its words.
func Words(text string) int {
	return len(strings.Fields(text))
}

// Length returns the number of tokens of the answer to text and why it ends
// there: at the first len=N word of the prompt, or at maxTokens.
func Length(text string, maxTokens int) (int, string) {
	for word := range strings.FieldsSeq(text) {
		digits, found := strings.CutPrefix(word, lengthWord)
		if !found {
			continue
		}
		n, err := strconv.Atoi(digits)
		if err == nil && n >= 1 && n <= maxTokens {
			return n, FinishStop
		}
		break
	}
	return maxTokens, FinishLength
}
