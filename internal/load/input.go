package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/juju/errors"

	"eelgrassgrade/internal/standin"
)

// minInputBytes is long enough for the class name and number that make an input
// unique.
const minInputBytes = 32

// inputGenerator generates the inputs of one class.
type inputGenerator struct {
	name     string
	class    Class
	random   *rand.Rand
	prefixes []string
	count    int
}

func newInputGenerator(name string, c Class, random *rand.Rand) *inputGenerator {
	gen := &inputGenerator{name: name, class: c, random: random}
	for n := range c.Prefixes {
		var b strings.Builder
		// The seed depends only on the number and the size of the prefix, so classes
		// with the same prefix size have the same prefixes.
		appendFiller(&b, c.PrefixBytes, rand.New(rand.NewPCG(uint64(n), uint64(c.PrefixBytes))))
		gen.prefixes = append(gen.prefixes, b.String())
	}
	return gen
}

// next returns an input that is unique within the run.
func (g *inputGenerator) next() string {
	var b strings.Builder
	if len(g.prefixes) > 0 {
		b.WriteString(g.prefixes[g.random.IntN(len(g.prefixes))])
		b.WriteByte(' ')
	}
	g.count++
	size := b.Len() + g.class.InputBytes.Min + g.random.IntN(g.class.InputBytes.Max-g.class.InputBytes.Min+1)
	fmt.Fprintf(&b, "%s %d ", g.name, g.count)
	appendFiller(&b, size, g.random)
	return b.String()
}

// appendFiller appends random words until b is size bytes long.
func appendFiller(b *strings.Builder, size int, random *rand.Rand) {
	for b.Len() < size {
		word := fmt.Sprintf("%x ", random.Uint32())
		b.WriteString(word[:min(len(word), size-b.Len())])
	}
}

// pipelineAnswer is the response of the caller API to a pipeline request.
type pipelineAnswer struct {
	Output    string `json:"output"`
	Documents []struct {
		ID   string `json:"id"`
		Text string `json:"text"`
	} `json:"documents"`
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// checkAnswer returns an error if a is not what the stand-ins generate for the input.
func checkAnswer(c Class, input string, a pipelineAnswer) error {
	prompt := input
	for _, d := range a.Documents {
		var n int
		if _, err := fmt.Sscanf(d.ID, "doc-%d", &n); err != nil || d.Text != standin.DocumentText(input, n) {
			return errors.Errorf("document %q belongs to another request", d.ID)
		}
		prompt += "\n" + d.Text
	}
	if c.MaxTokens > 0 && a.Usage.CompletionTokens != c.MaxTokens {
		return errors.Errorf("%d tokens, want %d", a.Usage.CompletionTokens, c.MaxTokens)
	}
	if a.Output == "" || a.Output != standin.GeneratedText(prompt, a.Usage.CompletionTokens) {
		return errors.New("the output does not match this request's input and documents")
	}
	return nil
}

// checkOperation returns an error if body is not a stand-in's answer to the class's
// operation.
func checkOperation(c Class, body []byte) error {
	var a struct {
		Operation string `json:"operation"`
		Number    int    `json:"number"`
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return err
	}
	if a.Operation != c.Operation || a.Number < 1 {
		return errors.New("the answer has another operation or no number")
	}
	return nil
}
