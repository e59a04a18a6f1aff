package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/enginemodel"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/plugins/engine/openai"
	"github.com/mintpulley/mintpulley/internal/prefix"
	"github.com/mintpulley/mintpulley/internal/standin/control"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// exportTimeout limits the request to the sender of a transfer.
const exportTimeout = 5 * time.Second

// modelList is OpenAI's list of models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     structs.ModelName `json:"id"`
	Object string            `json:"object"`
}

func (e *Engine) serveModels(w http.ResponseWriter, _ *http.Request) func() {
	list := modelList{Object: "list", Data: []modelItem{}}
	e.queue.Wait(func() {
		for _, model := range e.model.Models() {
			list.Data = append(list.Data, modelItem{ID: model, Object: "model"})
		}
	})
	return func() { control.WriteJSON(w, list) }
}

func (e *Engine) serveInspect(w http.ResponseWriter, r *http.Request) func() {
	attempt := structs.AttemptID(r.URL.Query().Get("attempt"))
	epoch, _ := strconv.ParseUint(r.URL.Query().Get("epoch"), 10, 64)
	var status framework.AttemptStatus
	e.queue.Wait(func() { status = e.model.Inspect(attempt, structs.Epoch(epoch)) })
	return func() { control.WriteJSON(w, status) }
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) func() {
	var request openai.CancelRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		return func() { http.Error(w, err.Error(), http.StatusBadRequest) }
	}
	stopped := make(chan struct{})
	e.queue.Do(func() { e.model.Cancel(request.Attempt, func() { close(stopped) }) })
	select {
	case <-stopped:
	case <-r.Context().Done():
	}
	return func() { control.WriteJSON(w, struct{}{}) }
}

func (e *Engine) serveHolds(w http.ResponseWriter, _ *http.Request) func() {
	var holds []structs.Hold
	e.queue.Wait(func() { holds = e.model.Holds() })
	return func() { control.WriteJSON(w, holds) }
}

func (e *Engine) serveRelease(w http.ResponseWriter, r *http.Request) func() {
	var request openai.ReleaseRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		return func() { http.Error(w, err.Error(), http.StatusBadRequest) }
	}
	e.queue.Wait(func() { e.model.Release(request.Hold) })
	return func() { control.WriteJSON(w, struct{}{}) }
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) func() {
	var report structs.LoadReport
	e.queue.Wait(func() { report = e.model.Load() })
	return func() { control.WriteJSON(w, report) }
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) func() {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	events := []structs.CacheEvent{}
	e.queue.Wait(func() { events = append(events, e.model.CacheEvents(after)...) })
	return func() { control.WriteJSON(w, events) }
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) func() {
	var order structs.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		return func() { http.Error(w, err.Error(), http.StatusBadRequest) }
	}
	var err error
	e.queue.Wait(func() { err = e.model.Order(order) })
	switch {
	case err == nil:
		return func() { control.WriteJSON(w, struct{}{}) }
	case eris.Is(err, framework.ErrFenced):
		return func() { http.Error(w, err.Error(), http.StatusConflict) }
	}
	return func() { http.Error(w, err.Error(), http.StatusUnprocessableEntity) }
}

// serveTransfer fetches a program's cache from another engine. It answers once
// the blocks are imported.
func (e *Engine) serveTransfer(w http.ResponseWriter, r *http.Request) func() {
	var request openai.TransferRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		return func() { http.Error(w, err.Error(), http.StatusBadRequest) }
	}
	export, err := e.fetchExport(r.Context(), request)
	if err != nil {
		return func() { http.Error(w, err.Error(), http.StatusBadGateway) }
	}
	wait := time.Duration(0)
	e.queue.Wait(func() { wait = e.model.ReserveLink(nil, e.model.MissingBlocks(export)) })
	if !control.Pause(r, control.Duration(wait)) {
		return func() {}
	}
	answer := openai.TransferAnswer{}
	e.queue.Wait(func() {
		answer.Tokens = int64(e.model.Import(export, request.Program, request.Hold)) * prefix.BlockTokens
	})
	return func() { control.WriteJSON(w, answer) }
}

func (e *Engine) fetchExport(ctx context.Context, request openai.TransferRequest) (enginemodel.Export, error) {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	query := url.Values{"tenant": {string(request.Program.Tenant)}, "program": {string(request.Program.Program)}}
	address := "http://" + string(request.From) + openai.PathExport + "?" + query.Encode()
	question, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return enginemodel.Export{}, err
	}
	response, err := e.client.Do(question)
	if err != nil {
		return enginemodel.Export{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return enginemodel.Export{}, eris.Errorf("the sender answered with status %d", response.StatusCode)
	}
	var export enginemodel.Export
	err = json.NewDecoder(response.Body).Decode(&export)
	return export, err
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) func() {
	key := structs.ProgramKey{
		Tenant:  structs.TenantName(r.URL.Query().Get("tenant")),
		Program: structs.ProgramID(r.URL.Query().Get("program")),
	}
	var export enginemodel.Export
	e.queue.Wait(func() { export = e.model.Export(key) })
	return func() { control.WriteJSON(w, export) }
}

func (e *Engine) serveStatistics(w http.ResponseWriter, _ *http.Request) {
	control.WriteJSON(w, e.Statistics())
}

func (e *Engine) serveRuns(w http.ResponseWriter, _ *http.Request) { control.WriteJSON(w, e.Runs()) }

func (e *Engine) serveRestart(w http.ResponseWriter, _ *http.Request) {
	e.Restart()
	control.WriteJSON(w, struct{}{})
}

// weightClient reads weights from the weight store over HTTP.
type weightClient struct {
	engine  *Engine
	address string
}

var _ enginemodel.WeightSource = (*weightClient)(nil)

// Fetch implements enginemodel.WeightSource.
func (c *weightClient) Fetch(name string, bytes int64, done func(error)) {
	address := "http://" + c.address + "/weights/" + url.PathEscape(name) + "?bytes=" + strconv.FormatInt(bytes, 10)
	go func() {
		err := c.read(address)
		c.engine.queue.Do(func() { done(err) })
	}()
}

func (c *weightClient) read(address string) error {
	response, err := c.engine.client.Get(address)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("the weight store answered with status %d", response.StatusCode)
	}
	return nil
}
