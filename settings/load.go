package settings

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/agext/levenshtein"
	"gopkg.in/ini.v1"
)

// EnvPrefix starts the name of every environment variable that is read:
// THYMERACK_SECTION_KEY.
const EnvPrefix = "THYMERACK_"

// durationUnits are the ends of key names that make a number a duration.
var durationUnits = map[string]time.Duration{"_ms": time.Millisecond, "_s": time.Second}

// Load reads the file (none if the path is empty), then the environment, given
// as KEY=value rows, then the flags, given as section.key=value, over the
// defaults, and validates the whole.
func Load(path string, environ, flags []string) (Settings, error) {
	s := Default()
	fields := fieldsOf(&s)
	if path != "" {
		if err := loadFile(path, fields); err != nil {
			return s, err
		}
	}
	for _, row := range environ {
		name, value, _ := strings.Cut(row, "=")
		if err := loadEnv(name, value, fields); err != nil {
			return s, err
		}
	}
	for _, flag := range flags {
		key, value, ok := strings.Cut(flag, "=")
		if !ok {
			return s, &KeyError{flag, "has no value", "write it as section.key=value"}
		}
		if err := set(fields, key, value); err != nil {
			return s, err
		}
	}
	return s, s.Validate()
}

func loadFile(path string, fields map[string]reflect.Value) error {
	f, err := ini.LoadSources(ini.LoadOptions{AllowBooleanKeys: false, Insensitive: false}, path)
	if err != nil {
		return fmt.Errorf("settings: %s can't be read (%w); check the path and that each line is a section or key = value", path, err)
	}
	for _, section := range f.Sections() {
		for _, key := range section.Keys() {
			if err := set(fields, section.Name()+"."+key.Name(), key.Value()); err != nil {
				return err
			}
		}
	}
	return nil
}

func loadEnv(name, value string, fields map[string]reflect.Value) error {
	rest, ok := strings.CutPrefix(name, EnvPrefix)
	if !ok {
		return nil
	}
	key := strings.Replace(strings.ToLower(rest), "_", ".", 1)
	return set(fields, key, value)
}

// fieldsOf lists the settable fields by section.key.
func fieldsOf(s *Settings) map[string]reflect.Value {
	out := map[string]reflect.Value{}
	v := reflect.ValueOf(s).Elem()
	for i := range v.NumField() {
		section := v.Type().Field(i).Tag.Get("ini")
		part := v.Field(i)
		for j := range part.NumField() {
			out[section+"."+part.Type().Field(j).Tag.Get("ini")] = part.Field(j)
		}
	}
	return out
}

func set(fields map[string]reflect.Value, key, value string) error {
	f, ok := fields[key]
	if !ok {
		return &KeyError{key, "is not a known key", fmt.Sprintf("did you mean %s?", nearest(fields, key))}
	}
	if err := parse(f, key, value); err != nil {
		return &KeyError{key, fmt.Sprintf("has the value %q", value), err.Error()}
	}
	return nil
}

func nearest(fields map[string]reflect.Value, key string) string {
	best, bestDistance := "", 0
	for _, known := range slices.Sorted(maps.Keys(fields)) {
		d := levenshtein.Distance(key, known, nil)
		if best == "" || d < bestDistance {
			best, bestDistance = known, d
		}
	}
	return best
}

func parse(f reflect.Value, key, value string) error {
	switch f.Interface().(type) {
	case time.Duration:
		return parseDuration(f, key, value)
	case string:
		f.SetString(value)
	case bool:
		b, err := strconv.ParseBool(value)
		if err != nil {
			return fmt.Errorf("use true or false")
		}
		f.SetBool(b)
	case int:
		n, err := strconv.Atoi(value)
		if err != nil {
			return fmt.Errorf("use a whole number")
		}
		f.SetInt(int64(n))
	case float64:
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return fmt.Errorf("use a number")
		}
		f.SetFloat(n)
	}
	return nil
}

func parseDuration(f reflect.Value, key, value string) error {
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return fmt.Errorf("use a whole number; the unit is the end of the key's name")
	}
	for suffix, unit := range durationUnits {
		if strings.HasSuffix(key, suffix) {
			f.SetInt(n * int64(unit))
		}
	}
	return nil
}

// validatePositive refuses numbers and durations below 1 where 0 has no meaning.
func (s *Settings) validatePositive() error {
	fields := fieldsOf(s)
	for _, key := range slices.Sorted(maps.Keys(fields)) {
		if zeroAllowed[key] {
			continue
		}
		f := fields[key]
		if (f.CanInt() && f.Int() <= 0) || (f.CanFloat() && f.Float() <= 0) {
			return &KeyError{key, "is not positive", "use a number above 0 or leave the key out"}
		}
	}
	return nil
}

// zeroAllowed are the keys for which 0 means "at once" or "never".
var zeroAllowed = map[string]bool{
	"callers.unready_grace_ms":     true,
	"streams.abandon_after_ms":     true,
	"streams.prefill_apart_tokens": true,
}
