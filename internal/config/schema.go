package config

import (
	"encoding/json"
	"errors"

	"github.com/invopop/jsonschema"
)

// Schema returns the form of a configuration as JSON Schema, made from the types.
func Schema() ([]byte, error) {
	reflector := jsonschema.Reflector{FieldNameTag: "toml", RequiredFromJSONSchemaTags: true, DoNotReference: true, Anonymous: true}
	schema := reflector.Reflect(&File{})
	if schema == nil {
		return nil, errors.New("the form has no schema")
	}
	schema.Title, schema.Description = "spanflow", "Configuration of a spanflow forwarder (TOML)."
	return json.MarshalIndent(schema, "", "  ")
}
