package settings

import (
	"fmt"
	"reflect"
)

// Section names one kind of items in a team's subtree.
type Section string

// The sections of a team's subtree whose items can be changed one by one. Keys are
// granted and withdrawn instead.
const (
	Services Section = "services"
	Accounts Section = "accounts"
	Routes   Section = "routes"
)

// ItemNotFoundError says that a subtree lacks an item.
type ItemNotFoundError struct {
	Section Section
	Name    string
}

// Error implements error.
func (e *ItemNotFoundError) Error() string { return fmt.Sprintf("there is no %s/%s", e.Section, e.Name) }

// Item returns one item of the subtree; its error is an *ErrNoItem.
func (t *Team) Item(s Section, name string) (any, error) {
	switch s {
	case Services:
		if x, ok := t.Services[name]; ok {
			return x, nil
		}
	case Accounts:
		if x, ok := t.Accounts[name]; ok {
			return x, nil
		}
	case Routes:
		if i := t.routeIndex(name); i >= 0 {
			return t.Routes[i], nil
		}
	}
	return nil, &ItemNotFoundError{s, name}
}

// SetItem adds or replaces one item, given as JSON. Its error is a *Fault or an
// *ErrNoItem for an unknown section. The subtree is checked with its tree later.
func (t *Team) SetItem(s Section, name string, data []byte) error {
	switch s {
	case Services:
		return setMapItem(&t.Services, name, data)
	case Accounts:
		return setMapItem(&t.Accounts, name, data)
	case Routes:
		return t.setRoute(name, data)
	}
	return &ItemNotFoundError{s, name}
}

// DeleteItem removes one item; its error is an *ErrNoItem.
func (t *Team) DeleteItem(s Section, name string) error {
	if _, err := t.Item(s, name); err != nil {
		return err
	}
	switch s {
	case Services:
		delete(t.Services, name)
	case Accounts:
		delete(t.Accounts, name)
	case Routes:
		i := t.routeIndex(name)
		t.Routes = append(t.Routes[:i:i], t.Routes[i+1:]...)
	}
	return nil
}

func setMapItem[V any](entries *map[string]V, name string, data []byte) error {
	v, err := parseItem[V](data)
	if err != nil {
		return err
	}
	if *entries == nil {
		*entries = map[string]V{}
	}
	(*entries)[name] = v
	return nil
}

func (t *Team) setRoute(name string, data []byte) error {
	r, err := parseItem[Route](data)
	if err != nil {
		return err
	}
	if r.Name != name {
		return &ValidationError{Path: "/name", Problem: fmt.Sprintf("%q differs from the route's name %q in the path", r.Name, name)}
	}
	if i := t.routeIndex(name); i >= 0 {
		t.Routes[i] = r
		return nil
	}
	t.Routes = append(t.Routes, r)
	return nil
}

func (t *Team) routeIndex(name string) int {
	for i, r := range t.Routes {
		if r.Name == name {
			return i
		}
	}
	return -1
}

// parseItem decodes one item of the type V.
func parseItem[V any](data []byte) (V, error) {
	var v V
	err := decode(data, "#/$defs/"+reflect.TypeOf(v).Name(), &v)
	return v, err
}
