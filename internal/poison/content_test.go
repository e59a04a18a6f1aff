package poison

import (
	"testing"

	"pgregory.net/rapid"
)

func TestDigestDependsOnEachPartOfTheContent(t *testing.T) {
	base := Content{Method: "POST", Host: "h", Target: "/a?b", Model: "m", Body: []byte("text")}
	changes := map[string]func(*Content){
		"method": func(c *Content) { c.Method = "PUT" },
		"host":   func(c *Content) { c.Host = "h2" },
		"target": func(c *Content) { c.Target = "/a?c" },
		"model":  func(c *Content) { c.Model = "" },
		"body":   func(c *Content) { c.Body = []byte("tex2") },
		"length": func(c *Content) { c.Body = []byte("text ") },
		"border": func(c *Content) { c.Host, c.Target = "h/", "a?b" },
	}
	for name, change := range changes {
		other := base
		change(&other)
		if other.Digest() == base.Digest() {
			t.Errorf("%s: the digest is the same", name)
		}
	}
	same := base
	same.Body = []byte("text")
	if same.Digest() != base.Digest() {
		t.Error("the same content has two digests")
	}
}

// Requests are compared by shape first, so a digest must contain the shape of its content.
func TestDigestContainsTheShape(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Content{
			Method: rapid.String().Draw(t, "method"), Host: rapid.String().Draw(t, "host"),
			Target: rapid.String().Draw(t, "target"), Model: rapid.String().Draw(t, "model"),
			Body: rapid.SliceOf(rapid.Byte()).Draw(t, "body"),
		}
		if got := c.Digest().shape(); got != c.shape() {
			t.Fatalf("shape %q in the digest, want %q", got, c.shape())
		}
	})
}
