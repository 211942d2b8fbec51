package policy

import (
	"reflect"

	"github.com/thymerack/thymerack/state"
)

// spare is a pin policy's word for an engine whose role must not change.
const spare = "spare"

// hookSpec describes what the programs of a hook see and give.
type hookSpec struct {
	// env is a value of the structure that the programs see. It is no pointer, so
	// that fields are reached by their index; a pointer is passed at run time.
	env any
	// result is the kind of value that the programs give.
	result reflect.Kind
	// remedy tells what a program must give.
	remedy string
}

func specOf(h state.PolicyHook) (hookSpec, bool) {
	switch h {
	case state.HookClassify:
		return hookSpec{RequestInput{}, reflect.String, `give the name of a class, or "" for no opinion`}, true
	case state.HookAdmit:
		return hookSpec{RequestInput{}, reflect.String, `give a reason to refuse, or "" to let the request pass`}, true
	case state.HookScore:
		return hookSpec{scoreEnv{}, reflect.Float64, "give a number of seconds, 0 for no opinion; both branches of a condition must be numbers (see float())"}, true
	case state.HookPin:
		return hookSpec{EngineInput{}, reflect.String, `give "prefill", "decode", "mixed", "spare", or "" for no opinion`}, true
	default:
		return hookSpec{}, false
	}
}

// Fields returns the names that the programs of a hook can use, in the order of
// their definition; nil for an unknown hook.
func Fields(h state.PolicyHook) []string {
	spec, ok := specOf(h)
	if !ok {
		return nil
	}
	return fieldNames(reflect.TypeOf(spec.env), "")
}

func fieldNames(t reflect.Type, prefix string) []string {
	var names []string
	for i := range t.NumField() {
		f := t.Field(i)
		tag := f.Tag.Get("expr")
		switch {
		case tag == "-":
		case f.Anonymous:
			names = append(names, fieldNames(f.Type, prefix)...)
		case f.Type.Kind() == reflect.Pointer:
			names = append(names, fieldNames(f.Type.Elem(), prefix+tag+".")...)
		default:
			names = append(names, prefix+tag)
		}
	}
	return names
}

// knownRole reports whether a pin policy may give the word.
func knownRole(word string) bool {
	return word == "" || word == spare || state.Role(word).Valid()
}
