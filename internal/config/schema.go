package config

import (
	"encoding/json"
	"errors"

	"github.com/invopop/jsonschema"
)

// Schema returns the JSON Schema of a configuration file, generated from File.
func Schema() ([]byte, error) {
	reflector := jsonschema.Reflector{FieldNameTag: "toml", RequiredFromJSONSchemaTags: true, DoNotReference: true, Anonymous: true}
	schema := reflector.Reflect(&File{})
	if schema == nil {
		return nil, errors.New("the configuration has no schema")
	}
	schema.Title, schema.Description = "spanflow", "Configuration of a spanflow forwarder (TOML)."
	return json.MarshalIndent(schema, "", "  ")
}
