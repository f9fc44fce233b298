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

// schemaID names the schema inside the validator.
const schemaID = "https://comfreycart.dev/settings.schema.json"

// Schema returns the JSON Schema of a settings file.
func Schema() ([]byte, error) {
	r := &generator.Reflector{ExpandedStruct: true}
	s := r.Reflect(&Tree{})
	s.ID = schemaID
	s.Title = "Settings of a comfreycart deployment"
	return json.MarshalIndent(s, "", "  ")
}

// schemaCompiler returns a schema compiler that knows the settings' schema.
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

// schemaCompilerMutex guards the compiler, which is not safe for concurrent use.
var schemaCompilerMutex sync.Mutex

func compileSchema(part string) (*jsonschema.Schema, error) {
	schemaCompilerMutex.Lock()
	defer schemaCompilerMutex.Unlock()
	c, err := schemaCompiler()
	if err != nil {
		return nil, err
	}
	return c.Compile(schemaID + part)
}

// checkSchema reports the first place where data does not fit a part of the schema
// as a *Fault; the empty part is the whole tree.
func checkSchema(data []byte, part string) error {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return &ValidationError{Problem: "not JSON: " + err.Error()}
	}
	s, err := compileSchema(part)
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

// schemaError turns the innermost cause of a validation error into a fault.
func schemaError(e *jsonschema.ValidationError) *ValidationError {
	for len(e.Causes) > 0 {
		e = e.Causes[0]
	}
	at := append([]string{""}, e.InstanceLocation...)
	if extra, ok := e.ErrorKind.(*kind.AdditionalProperties); ok {
		at = append(at, extra.Properties[0])
		return &ValidationError{Path: jsonPointer(at), Problem: "there is no such setting"}
	}
	problem := e.ErrorKind.LocalizedString(message.NewPrinter(language.English))
	return &ValidationError{Path: jsonPointer(at), Problem: problem}
}

// jsonPointer joins the steps of a path into a JSON pointer.
func jsonPointer(steps []string) string {
	escape := strings.NewReplacer("~", "~0", "/", "~1")
	for i, s := range steps {
		steps[i] = escape.Replace(s)
	}
	return strings.Join(steps, "/")
}
