// Package httpx holds what the HTTP interfaces of all processes share: the encoding of
// refusals, and the operators' pages.
package httpx

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chicoryturn/core"
	"chicoryturn/io/agent"
	"chicoryturn/io/parse"
)

const (
	// ExecutionHeader is the response header that says whether the request was executed:
	// yes, no or unknown.
	ExecutionHeader = "Run"
	// HeaderTimeout is the time within which a client must send its headers.
	HeaderTimeout = 10 * time.Second
	// IdleTimeout is how long a connection is kept open without a request.
	IdleTimeout = 2 * time.Minute
	// MaxHeader is the largest size of the headers of one request, in bytes.
	MaxHeader = 64 << 10
)

// Refusal is the body of the answer to a refused request.
type Refusal struct {
	Code      string `json:"code"`
	Execution string `json:"run"`
	Reason    string `json:"reason"`
	// Lines are the errors of a refused file, one per entry.
	Lines []string `json:"lines,omitempty"`
}

var statusByCode = map[core.Code]int{
	core.CodeBadInput:          http.StatusBadRequest,
	core.CodeBadKey:            http.StatusForbidden,
	core.CodeUnknownQueue:      http.StatusNotFound,
	core.CodeUnknownTeam:       http.StatusNotFound,
	core.CodeUnknownJob:        http.StatusNotFound,
	core.CodeTooLarge:          http.StatusUnprocessableEntity,
	core.CodeBusy:              http.StatusTooManyRequests,
	core.CodeOverLimit:         http.StatusTooManyRequests,
	core.CodeOverload:          http.StatusTooManyRequests,
	core.CodeTimeout:           http.StatusServiceUnavailable,
	core.CodeLeaving:           http.StatusServiceUnavailable,
	core.CodeStoreUnavailable:  http.StatusServiceUnavailable,
	core.CodeNoOwner:           http.StatusServiceUnavailable,
	core.CodeConfigUnconfirmed: http.StatusServiceUnavailable,
	core.CodeStaleEpoch:        http.StatusConflict,
	core.CodeConflict:          http.StatusConflict,
	core.CodeAlreadySent:       http.StatusConflict,
	core.CodeTargetFailed:      http.StatusBadGateway,
}

// Status returns the HTTP status of a refusal code.
func Status(c core.Code) int {
	if s, ok := statusByCode[c]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// WriteError answers with the refusal that an error holds. Any other error becomes a
// refusal whose execution is unknown.
func WriteError(w http.ResponseWriter, err error) {
	var lines core.LineErrors
	var r *core.RefusalError
	if errors.As(err, &lines) {
		body := Refusal{Code: string(core.CodeBadInput), Execution: string(core.NotExecuted), Reason: "the file has errors; nothing was changed"}
		for _, l := range lines {
			body.Lines = append(body.Lines, l.Error())
		}
		writeRefusal(w, http.StatusBadRequest, body)
		return
	}
	if !errors.As(err, &r) {
		r = core.RefuseUnknown(core.CodeStoreUnavailable, err, "the request failed")
	}
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(max(r.RetryAfter, time.Second)/time.Second)))
	}
	reason := r.Reason
	if r.Err != nil {
		reason += ": " + r.Err.Error()
	}
	writeRefusal(w, Status(r.Code), Refusal{Code: string(r.Code), Execution: string(r.Execution), Reason: reason})
}

func writeRefusal(w http.ResponseWriter, status int, body Refusal) {
	w.Header().Set(ExecutionHeader, body.Execution)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// WriteJSON answers with a value, encoded as JSON.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(body)
}

// ReadBody reads a body of at most limit bytes.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, core.Refuse(core.CodeTooLarge, "the body is larger than %d bytes", limit)
	}
	if err != nil {
		return nil, core.Refuse(core.CodeBadInput, "the body is incomplete")
	}
	return body, nil
}

// Process is a process that has operators' pages.
type Process interface {
	// Dump returns the control state.
	Dump(ctx context.Context) (any, error)
	// Ready reports whether the process accepts work.
	Ready(ctx context.Context) bool
}

// Ops returns the handler of the operators' pages of a process.
func Ops(p Process, a *agent.Agent) *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, r *http.Request) {
		if !p.Ready(r.Context()) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, r *http.Request) { respond(w)(p.Dump(r.Context())) })
	o := opsHandlers{a}
	mux.HandleFunc("GET /rules", o.showRules)
	mux.HandleFunc("POST /rules", o.pushRules)
	mux.HandleFunc("POST /rules/check", o.checkRules)
	mux.HandleFunc("GET /rules/history", o.showHistory)
	mux.HandleFunc("GET /config", o.showConfig)
	mux.HandleFunc("GET /keys", o.listKeys)
	mux.HandleFunc("POST /keys", o.grantKey)
	mux.HandleFunc("DELETE /keys/{id}", o.withdrawKey)
	return mux
}

// respond returns a function that answers with its arguments: a refusal if err is set,
// and the JSON form of body otherwise. It takes the results of a call directly.
func respond(w http.ResponseWriter) func(body any, err error) {
	return func(body any, err error) {
		if err != nil {
			WriteError(w, err)
			return
		}
		WriteJSON(w, http.StatusOK, body)
	}
}

// opsHandlers holds the handlers that read or change the configuration.
type opsHandlers struct{ agent *agent.Agent }

// operatorName returns the name that the operator gives for the history of changes.
func operatorName(r *http.Request) string { return strings.TrimSpace(r.Header.Get("Operator")) }

// ChangeResult is the answer to an accepted change of the configuration.
type ChangeResult struct {
	// Version is the version of the configuration with the change.
	Version core.Version `json:"version"`
	// Key is a newly granted key with its secret. Only this answer contains it.
	Key string `json:"key,omitempty"`
}

func (o opsHandlers) pushRules(w http.ResponseWriter, r *http.Request) {
	text, err := ReadBody(w, r, parse.MaxRules)
	if err != nil {
		WriteError(w, err)
		return
	}
	// Without a base, the rules replace any version in force.
	base := uint64(0)
	if given := r.URL.Query().Get("base"); given != "" {
		if base, err = strconv.ParseUint(given, 10, 64); err != nil {
			WriteError(w, core.Refuse(core.CodeBadInput, "base %q is not a version", given))
			return
		}
	}
	v, err := o.agent.PushRules(r.Context(), text, core.Version(base), operatorName(r))
	respond(w)(ChangeResult{Version: v}, err)
}

func (o opsHandlers) checkRules(w http.ResponseWriter, r *http.Request) {
	text, err := ReadBody(w, r, parse.MaxRules)
	if err == nil {
		_, err = parse.Rules("rules", text)
	}
	respond(w)(struct{}{}, err)
}

func (o opsHandlers) showRules(w http.ResponseWriter, r *http.Request) {
	text, v, err := o.agent.RulesText(r.Context())
	if err != nil {
		WriteError(w, err)
		return
	}
	w.Header().Set("Version", strconv.FormatUint(uint64(v), 10))
	_, _ = w.Write(text)
}

func (o opsHandlers) showHistory(w http.ResponseWriter, r *http.Request) {
	respond(w)(o.agent.History(r.Context()))
}

// Config describes the configuration in force.
type Config struct {
	Version core.Version `json:"version"`
	// Lowest is the lowest version in force in any live process.
	Lowest core.Version `json:"lowest"`
}

func (o opsHandlers) showConfig(w http.ResponseWriter, r *http.Request) {
	v, err := o.agent.View(r.Context())
	respond(w)(Config{v.Version, v.LowestVersion}, err)
}

// Key describes a key without its secret, which is not stored.
type Key struct {
	ID    string `json:"id"`
	Team  string `json:"team"`
	State string `json:"state"`
}

func (o opsHandlers) listKeys(w http.ResponseWriter, r *http.Request) {
	v, err := o.agent.View(r.Context())
	out := []Key{}
	for _, k := range v.Keys {
		out = append(out, Key{k.ID, string(k.Team), k.State()})
	}
	respond(w)(out, err)
}

func (o opsHandlers) grantKey(w http.ResponseWriter, r *http.Request) {
	key, v, err := o.agent.GrantKey(r.Context(), core.Team(r.URL.Query().Get("team")), operatorName(r))
	respond(w)(ChangeResult{v, key}, err)
}

func (o opsHandlers) withdrawKey(w http.ResponseWriter, r *http.Request) {
	v, err := o.agent.WithdrawKey(r.Context(), r.PathValue("id"), operatorName(r))
	respond(w)(ChangeResult{Version: v}, err)
}
