package cli

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestInvalidUsage(t *testing.T) {
	cases := [][]string{
		{"engine", "--role", "chief"},
		{"engine", "--profile", "huge"},
		{"engine", "--cache-tokens", "1"},
		{"engine", "--maximum-running", "512"},
		{"proxy", "--route", "a=127.0.0.1:0"},
		{"weights", "--rate", "0"},
		{"machines", "--file", "/does/not/exist"},
		{"log", "--listen", "nowhere"},
	}
	for _, arguments := range cases {
		root := New()
		root.Writer, root.ErrWriter = &bytes.Buffer{}, &bytes.Buffer{}
		err := root.Run(context.Background(), append([]string{"mintpulley-standin"}, arguments...))
		if ExitCode(err) != ExitUsage {
			t.Errorf("%v: no error", arguments)
		}
	}
}

func TestEachCommandAnnouncesItsAddress(t *testing.T) {
	for _, name := range []string{"engine", "log", "machines", "tool", "weights", "application", "proxy"} {
		ctx, stop := context.WithTimeout(context.Background(), 20*time.Millisecond)
		root := New()
		out := &bytes.Buffer{}
		root.Writer = out
		if err := root.Run(ctx, []string{"mintpulley-standin", name}); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		stop()
		if !strings.HasPrefix(out.String(), "listening 127.0.0.1:") {
			t.Errorf("%s printed %q", name, out)
		}
	}
}

func TestParseRoutes(t *testing.T) {
	routes, err := parseRoutes([]string{"a=127.0.0.1:1", "127.0.0.1:2", "b=127.0.0.1:3", "127.0.0.1:4"})
	if err != nil {
		t.Fatal(err)
	}
	want := []routeFlag{{"a", "127.0.0.1:1", "127.0.0.1:2"}, {"b", "127.0.0.1:3", "127.0.0.1:4"}}
	if diff := cmp.Diff(want, routes, cmp.AllowUnexported(routeFlag{})); diff != "" {
		t.Error(diff)
	}
}
