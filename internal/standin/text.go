package standin

import (
	"fmt"
	"hash/fnv"
	"regexp"
	"strconv"
	"strings"
)

// lengthMark in a prompt sets the length of the stand-in's output. The system
// doesn't read prompts; only the sender and the stand-in know the mark.
var lengthMark = regexp.MustCompile(`\[\[len=(\d{1,6})\]\]`)

// defaultLength is the output of a prompt without a mark.
const defaultLength = 32

// charsPerToken converts the length of a prompt into tokens.
const charsPerToken = 4

// MarkLength writes the mark.
func MarkLength(tokens int) string { return fmt.Sprintf("[[len=%d]]", tokens) }

// OutputLength gives the number of tokens that a prompt is answered with.
func OutputLength(prompt string) int {
	m := lengthMark.FindStringSubmatch(prompt)
	if m == nil {
		return defaultLength
	}
	n, err := strconv.Atoi(m[1])
	if err != nil || n < 1 {
		return defaultLength
	}
	return n
}

// PromptTokens gives the length of a prompt.
func PromptTokens(prompt string) int { return len(prompt)/charsPerToken + 1 }

// TextHash identifies a prompt in its answer.
func TextHash(prompt string) string {
	h := fnv.New64a()
	h.Write([]byte(prompt))
	return fmt.Sprintf("%016x", h.Sum64())
}

// Token gives one token of the answer to a prompt with this hash, so that a
// sender can tell its own answer and see that it is whole.
func Token(hash string, index int) string { return fmt.Sprintf("%s.%d ", hash, index) }

// Answer gives the whole answer to a prompt.
func Answer(prompt string) string {
	hash := TextHash(prompt)
	var b strings.Builder
	for i := range OutputLength(prompt) {
		b.WriteString(Token(hash, i))
	}
	return b.String()
}
