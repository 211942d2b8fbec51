package front

import (
	"github.com/cespare/xxhash/v2"

	"github.com/thymerack/thymerack/coordination/upstream"
)

const (
	// bytesPerToken is the usual size of a token of text.
	bytesPerToken = 4
	// prefixBytes is the step in which growing prefixes of a prompt are hashed.
	prefixBytes = 1024
	// maxPrefixes bounds the hashes of one prompt.
	maxPrefixes = 32
)

// measurePrompt estimates the tokens of a prompt and hashes its growing
// prefixes, shortest first. A prompt has at least as many tokens as words.
func measurePrompt(p upstream.Prompt) (int, []uint64) {
	m := &promptMeter{digest: xxhash.New()}
	if !p.Chat() {
		m.add(p.Text)
	}
	for _, message := range p.Messages {
		m.add(message.Role)
		m.add(message.Content)
	}
	return max(m.bytes/bytesPerToken, m.words, 1), m.prefixes
}

type promptMeter struct {
	digest   *xxhash.Digest
	bytes    int
	words    int
	prefixes []uint64
}

func (m *promptMeter) add(text string) {
	inWord := false
	for i := range len(text) {
		space := text[i] <= ' '
		if !space && !inWord {
			m.words++
		}
		inWord = !space
	}
	for len(text) > 0 {
		n := min(len(text), prefixBytes-m.bytes%prefixBytes)
		_, _ = m.digest.WriteString(text[:n])
		m.bytes += n
		text = text[n:]
		if m.bytes%prefixBytes == 0 && len(m.prefixes) < maxPrefixes {
			m.prefixes = append(m.prefixes, m.digest.Sum64())
		}
	}
}
