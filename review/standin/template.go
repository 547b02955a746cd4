package main

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// fill fills a template of settings as the platform does (DEPLOY.md, "Settings of a process"), as far
// as the template of this project uses it.
func fill(template string, scopes ...any) string {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(template, "{{")
		out.WriteString(before)
		if !found {
			return out.String()
		}
		tag, after, _ := strings.Cut(rest, "}}")
		template = after
		switch tag[0] {
		case '#', '^':
			name := tag[1:]
			end := "{{/" + name + "}}"
			inner, remaining, _ := strings.Cut(after, end)
			template = remaining
			out.WriteString(section(tag[0] == '^', lookUp(name, scopes), inner, scopes))
		default:
			name, form, _ := strings.Cut(tag, "|")
			value := lookUp(name, scopes)
			if form == "json" {
				content, _ := json.Marshal(value)
				out.Write(content)
			} else if value != nil {
				fmt.Fprint(&out, value)
			}
		}
	}
}

// entryScope is the scope inside a section that stands for each entry.
type entryScope struct {
	value, key any
	last       bool
}

func section(inverted bool, value any, inner string, scopes []any) string {
	if inverted {
		if empty(value) {
			return fill(inner, scopes...)
		}
		return ""
	}
	var out strings.Builder
	each := func(key, entry any, last bool) {
		out.WriteString(fill(inner, append([]any{entryScope{entry, key, last}}, scopes...)...))
	}
	switch value := value.(type) {
	case []string:
		for i, entry := range value {
			each(i, entry, i == len(value)-1)
		}
	case map[string]string:
		keys := make([]string, 0, len(value))
		for key := range value {
			keys = append(keys, key)
		}
		sort.Strings(keys)
		for i, key := range keys {
			each(key, value[key], i == len(keys)-1)
		}
	default:
		if !empty(value) {
			return fill(inner, scopes...)
		}
	}
	return out.String()
}

func empty(value any) bool {
	switch value := value.(type) {
	case nil:
		return true
	case bool:
		return !value
	case []string:
		return len(value) == 0
	default:
		return false
	}
}

func lookUp(name string, scopes []any) any {
	for _, scope := range scopes {
		if entry, ok := scope.(entryScope); ok {
			switch {
			case name == ".":
				return entry.value
			case name == "@":
				return entry.key
			case name == ",":
				if entry.last {
					return nil
				}
				return ","
			}
			continue
		}
		value := any(scope)
		for _, part := range strings.Split(name, ".") {
			switch table := value.(type) {
			case map[string]any:
				value = table[part]
			case []int:
				var index int
				_, _ = fmt.Sscan(part, &index)
				value = table[index]
			default:
				value = nil
			}
		}
		if value != nil {
			return value
		}
	}
	return nil
}
