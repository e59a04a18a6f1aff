package gateway

import (
	"maps"
	"net/http"
	"slices"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// modelOwner is the owner of all models in the list of models.
const modelOwner = "mintpulley"

// modelEntry is OpenAI's model object.
type modelEntry struct {
	ID      structs.ModelName `json:"id"`
	Object  string            `json:"object"`
	Created int64             `json:"created"`
	OwnedBy string            `json:"owned_by"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

func (e *exchange) serveModels() {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, model := range tenantModels(e.gateway.Configurations.Current(), e.tenant) {
		list.Data = append(list.Data, entryOf(model))
	}
	e.answerJSON(http.StatusOK, list)
}

func (e *exchange) serveModel() {
	wanted := structs.ModelName(e.r.PathValue("model"))
	models := tenantModels(e.gateway.Configurations.Current(), e.tenant)
	if !slices.Contains(models, wanted) {
		e.answerNotFound(structs.ReasonUnknownModel, "There is no such model.")
		return
	}
	e.answerJSON(http.StatusOK, entryOf(wanted))
}

func entryOf(model structs.ModelName) modelEntry {
	return modelEntry{ID: model, Object: "model", OwnedBy: modelOwner}
}

// tenantModels returns the models that a tenant's templates may use, sorted.
func tenantModels(configuration *structs.Configuration, tenant structs.TenantName) []structs.ModelName {
	allowed := map[structs.ModelName]bool{}
	for name := range configuration.Tenants[tenant].Templates {
		for _, model := range configuration.Templates[name].Models {
			if _, exists := configuration.Models[model]; exists {
				allowed[model] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(allowed))
}
