package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/juju/errors"

	"eelgrassgrade/internal/standin"
)

// minInput leaves room for the words that make an input unique.
const minInput = 32

// inputs makes the inputs of one class.
type inputs struct {
	name   string
	class  Class
	random *rand.Rand
	shared []string
	made   int
}

func newInputs(name string, c Class, random *rand.Rand) *inputs {
	g := &inputs{name: name, class: c, random: random}
	for n := range c.Prefixes {
		var b strings.Builder
		// Classes with prefixes of the same size share them.
		fill(&b, c.PrefixBytes, rand.New(rand.NewPCG(uint64(n), uint64(c.PrefixBytes))))
		g.shared = append(g.shared, b.String())
	}
	return g
}

// next returns an input that no other request of the run has.
func (g *inputs) next() string {
	var b strings.Builder
	if len(g.shared) > 0 {
		b.WriteString(g.shared[g.random.IntN(len(g.shared))])
		b.WriteByte(' ')
	}
	g.made++
	size := b.Len() + g.class.InputBytes.Min + g.random.IntN(g.class.InputBytes.Max-g.class.InputBytes.Min+1)
	fmt.Fprintf(&b, "%s %d ", g.name, g.made)
	fill(&b, size, g.random)
	return b.String()
}

// fill appends words until b holds size bytes.
func fill(b *strings.Builder, size int, random *rand.Rand) {
	for b.Len() < size {
		word := fmt.Sprintf("%x ", random.Uint32())
		b.WriteString(word[:min(len(word), size-b.Len())])
	}
}

// pipelineAnswer is a pipeline's answer as the caller API gives it.
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

// checkAnswer says whether a is the stand-ins' answer to the input.
func checkAnswer(c Class, input string, a pipelineAnswer) error {
	prompt := input
	for _, d := range a.Documents {
		var n int
		if _, err := fmt.Sscanf(d.ID, "doc-%d", &n); err != nil || d.Text != standin.DocumentText(input, n) {
			return errors.Errorf("document %q is of another request", d.ID)
		}
		prompt += "\n" + d.Text
	}
	if c.MaxTokens > 0 && a.Usage.CompletionTokens != c.MaxTokens {
		return errors.Errorf("%d tokens, want %d", a.Usage.CompletionTokens, c.MaxTokens)
	}
	if a.Output == "" || a.Output != standin.GeneratedText(prompt, a.Usage.CompletionTokens) {
		return errors.New("the output is not the answer to this request")
	}
	return nil
}

// checkOperation says whether the body is the stand-ins' answer to the operation.
func checkOperation(c Class, body []byte) error {
	var a struct {
		Operation string `json:"operation"`
		Number    int    `json:"number"`
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return err
	}
	if a.Operation != c.Operation || a.Number < 1 {
		return errors.New("the answer is that of another operation")
	}
	return nil
}
