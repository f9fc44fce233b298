package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"sync"

	generator "github.com/invopop/jsonschema"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// schemaID is the ID of the schema, and its URL in the schema compiler.
const schemaID = "https://comfreycart.dev/settings.schema.json"

// Schema returns the JSON Schema of a settings file, generated from the Go types of the
// Tree. The names of its definitions are the names of the Go types.
func Schema() ([]byte, error) {
	r := &generator.Reflector{ExpandedStruct: true}
	s := r.Reflect(&Tree{})
	s.ID = schemaID
	s.Title = "Settings of a comfreycart deployment"
	return json.MarshalIndent(s, "", "  ")
}

// schemaCompiler returns a schema compiler with the settings schema loaded.
var schemaCompiler = sync.OnceValues(func() (*jsonschema.Compiler, error) {
	raw, err := Schema()
	if err != nil {
		return nil, err
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	c := jsonschema.NewCompiler()
	return c, c.AddResource(schemaID, doc)
})

// schemaCompilerMutex guards schemaCompiler, which is not safe for concurrent use.
var schemaCompilerMutex sync.Mutex

// compileSchema compiles the part of the settings schema at a URL fragment; the empty
// fragment is the schema of the whole tree.
func compileSchema(fragment string) (*jsonschema.Schema, error) {
	schemaCompilerMutex.Lock()
	defer schemaCompilerMutex.Unlock()
	c, err := schemaCompiler()
	if err != nil {
		return nil, err
	}
	return c.Compile(schemaID + fragment)
}

// checkSchema returns a *ValidationError for the first place where data is not JSON or does
// not match the schema at the fragment, as in compileSchema.
func checkSchema(data []byte, fragment string) error {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return &ValidationError{Problem: "not JSON: " + err.Error()}
	}
	s, err := compileSchema(fragment)
	if err != nil {
		return err
	}
	err = s.Validate(doc)
	var invalid *jsonschema.ValidationError
	if errors.As(err, &invalid) {
		return schemaError(invalid)
	}
	return err
}

// schemaError converts a schema validation error. It follows the first cause at each level
// down to the one that names the invalid value.
func schemaError(e *jsonschema.ValidationError) *ValidationError {
	for len(e.Causes) > 0 {
		e = e.Causes[0]
	}
	path := append([]string{""}, e.InstanceLocation...)
	if extra, ok := e.ErrorKind.(*kind.AdditionalProperties); ok {
		path = append(path, extra.Properties[0])
		return &ValidationError{Path: jsonPointer(path), Problem: "there is no such setting"}
	}
	problem := e.ErrorKind.LocalizedString(message.NewPrinter(language.English))
	return &ValidationError{Path: jsonPointer(path), Problem: problem}
}

// jsonPointer joins the tokens of a path into a JSON pointer (RFC 6901) and escapes them in
// place.
func jsonPointer(tokens []string) string {
	escape := strings.NewReplacer("~", "~0", "/", "~1")
	for i, s := range tokens {
		tokens[i] = escape.Replace(s)
	}
	return strings.Join(tokens, "/")
}
