package control

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestServiceFaults calls a service under each fault with a client timeout,
// and checks whether the request took effect and was answered.
func TestServiceFaults(t *testing.T) {
	cases := map[string]struct {
		faults   ServiceFaults
		effect   bool
		answered int
	}{
		"none":         {ServiceFaults{}, true, http.StatusOK},
		"down":         {ServiceFaults{Down: true}, false, http.StatusServiceUnavailable},
		"slow":         {ServiceFaults{Delay: Duration(time.Millisecond)}, true, http.StatusOK},
		"too slow":     {ServiceFaults{Delay: Duration(time.Hour)}, false, 0},
		"hang":         {ServiceFaults{Hang: 1}, false, 0},
		"request lost": {ServiceFaults{LoseRequests: 1}, false, 0},
		"answer lost":  {ServiceFaults{LoseAnswers: 1}, true, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			effects := make(chan struct{}, 1)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				test.faults.Serve(NewChance(1), w, r, func() func() {
					effects <- struct{}{}
					return func() { WriteJSON(w, "done") }
				})
			}))
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			if test.answered != 0 {
				ctx = context.Background()
			}
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, nil)
			if err != nil {
				t.Fatal(err)
			}
			status := 0
			if response, err := http.DefaultClient.Do(request); err == nil {
				status = response.StatusCode
				_ = response.Body.Close()
			}
			server.Close() // waits for the handler
			if status != test.answered || len(effects) == 1 != test.effect {
				t.Errorf("status %d, effects %d; want status %d, effect %t", status, len(effects), test.answered, test.effect)
			}
		})
	}
}
