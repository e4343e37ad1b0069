package gate

import (
	"context"
	"net/http"

	"chicoryturn/core"
	"chicoryturn/io/httpx"
	"chicoryturn/io/loop"
)

// Handler returns the callers' HTTP interface.
func (g *Gate) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/call/{queue}/{rest...}", g.serveCall)
	mux.HandleFunc("/call/{queue}", g.serveCall)
	mux.HandleFunc("POST /jobs", g.serveSubmit)
	mux.HandleFunc("GET /jobs", g.serveList)
	mux.HandleFunc("GET /jobs/{id}", g.serveShow)
	mux.HandleFunc("DELETE /jobs/{id}", g.serveCancel)
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, r *http.Request) {
		if !g.Ready(r.Context()) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		httpx.WriteError(w, core.Refuse(core.CodeBadInput, "no page %s %s; use /call/QUEUE/... or /jobs", r.Method, r.URL.Path))
	})
	return mux
}

// Run runs the gate's control goroutine until the context ends.
func (g *Gate) Run(ctx context.Context) error {
	g.loop.Go(func(context.Context) loop.Message {
		_ = g.intents.Run(ctx)
		return nil
	})
	g.loop.Go(func(context.Context) loop.Message {
		_ = g.intents.RunExpiry(ctx, func(err error) { g.log.WithError(err).Warn("expired idempotency keys not deleted; will retry") })
		return nil
	})
	return g.loop.Run(g)
}
