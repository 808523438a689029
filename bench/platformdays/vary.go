package main

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
)

// site is a deployment as its file describes it. Its fields are the bench's own; a
// variation touches the few that it is about and keeps the rest.
type site map[string]any

// variation makes another deployment of a site.
type variation struct {
	name string
	vary func(site)
}

// variations are deployments that nobody has tuned for.
var variations = []variation{
	{"one-zone", func(s site) { s.mergeZones() }},
	{"two-regions", func(s site) { s.splitRegions() }},
	{"two-fronts", func(s site) { s.machines("front", func(m site) { m["count"] = int64(2) }) }},
	{"one-front", func(s site) { s.machines("front", func(m site) { m["count"] = int64(1) }) }},
	{"five-cores", func(s site) { s.cores(5, 2) }},
	{"seven-cores", func(s site) { s.cores(7, 3) }},
	{"few-slots", func(s site) {
		s.services(func(m site) { m["slots"] = int64(4); m.engine(func(e site) { e["batch"] = int64(4) }) })
	}},
	{"little-memory", func(s site) { s.services(func(m site) { m.engine(func(e site) { e["kv_tokens"] = int64(90_000) }) }) }},
	{"few-readers", func(s site) { s.services(func(m site) { m.engine(func(e site) { e["prefill"] = 0.15 }) }) }},
	{"many-readers", func(s site) { s.services(func(m site) { m.engine(func(e site) { e["prefill"] = 0.8 }) }) }},
	{"slow-switch", func(s site) { s.services(func(m site) { m.engine(func(e site) { e["switch_s"] = 5.0 }) }) }},
	{"load-told", func(s site) { s.services(func(m site) { m["load_header"] = true }) }},
	{"load-untold", func(s site) { s.services(func(m site) { m["load_header"] = false }) }},
	{"few-connections", func(s site) { s.services(func(m site) { m["conn_cap"] = int64(40) }) }},
	{"no-fences", func(s site) { s.table("bounds")["fenced"] = false }},
	{"small-budget", func(s site) { s.table("bounds")["budget_slack"] = 12.0 }},
	{"tight-bounds", func(s site) {
		s.table("bounds")["drain_ms"] = int64(2000)
		s.table("bounds")["config_ms"] = int64(1500)
	}},
	{"slow-list", func(s site) {
		s.table("discovery")["lag_ms"] = int64(1500)
		s.table("discovery")["page"] = int64(5)
	}},
	{"slow-processors", func(s site) { s.machines("", func(m site) { m["cpu_share"] = 0.2 }) }},
	{"little-machine-memory", func(s site) { s.machines("", func(m site) { m["memory_mb"] = int64(96) }) }},
	{"fast-engines", func(s site) { s.services(func(m site) { m.engine(func(e site) { e.speedUp(10) }) }) }},
	{"slow-engines", func(s site) { s.services(func(m site) { m.engine(func(e site) { e.speedUp(0.1) }) }) }},
	{"fast-links", func(s site) { s.services(func(m site) { m.engine(func(e site) { e.scale(10, "link_mbps") }) }) }},
	{"slow-links", func(s site) { s.services(func(m site) { m.engine(func(e site) { e.scale(0.1, "link_mbps") }) }) }},
	{"far-zones", func(s site) { s.table("net")["cross_zone_ms"] = 8.0 }},
	{"late-clients", func(s site) { s.table("net")["client_ms"] = 30.0 }},
	{"slow-disks", func(s site) {
		s.machines("core", func(m site) { m.table("disk")["sync_ms"] = int64(25) })
	}},
}

// readSite reads a site's file.
func readSite(path string) (site, error) {
	read := map[string]any{}
	if _, err := toml.DecodeFile(path, &read); err != nil {
		return nil, err
	}
	return read, nil
}

// write writes the site under a name into a folder, beside a copy of the file of
// messages that the original names, and returns the path.
func (s site) write(folder, name, original string) (string, error) {
	s["name"] = name
	if wire, named := s["wire"].(string); named {
		content, err := os.ReadFile(filepath.Join(filepath.Dir(original), wire))
		if err != nil {
			return "", err
		}
		if err := os.WriteFile(filepath.Join(folder, wire), content, 0o600); err != nil {
			return "", err
		}
	}
	var encoded bytes.Buffer
	if err := toml.NewEncoder(&encoded).Encode(map[string]any(s)); err != nil {
		return "", err
	}
	path := filepath.Join(folder, name+".toml")
	return path, os.WriteFile(path, encoded.Bytes(), 0o600)
}

// table returns a table of the site, made if it is missing.
func (s site) table(name string) site {
	table, found := s[name].(map[string]any)
	if !found {
		table = map[string]any{}
		s[name] = table
	}
	return table
}

// speedUp makes engines read and generate faster by a factor.
func (s site) speedUp(factor float64) {
	s.scale(factor, "prefill_tokens_per_ms")
	s.scale(1/factor, "step_ms", "step_ms_per_slot", "context_ms_per_k", "pairs_ms_per_m")
}

// scale multiplies the numbers of some keys, where they are given.
func (s site) scale(factor float64, keys ...string) {
	for _, key := range keys {
		switch value := s[key].(type) {
		case float64:
			s[key] = value * factor
		case int64:
			s[key] = float64(value) * factor
		}
	}
}

// list returns an array of tables.
func (s site) list(name string) []site {
	var tables []site
	switch entries := s[name].(type) {
	case []map[string]any:
		for _, entry := range entries {
			tables = append(tables, entry)
		}
	case []any:
		for _, entry := range entries {
			if table, ok := entry.(map[string]any); ok {
				tables = append(tables, table)
			}
		}
	}
	return tables
}

func (s site) setList(name string, tables []site) {
	entries := make([]map[string]any, 0, len(tables))
	for _, table := range tables {
		entries = append(entries, table)
	}
	s[name] = entries
}

// machines changes those of a class, all of them if it is empty.
func (s site) machines(class string, change func(site)) {
	for _, machine := range s.list("machines") {
		if class == "" || machine["class"] == class {
			change(machine)
		}
	}
}

func (s site) services(change func(site)) {
	for _, service := range s.list("services") {
		change(service)
	}
}

// engine changes what a service says of its model engines, if it has any.
func (s site) engine(change func(site)) {
	if engine, found := s["llm"].(map[string]any); found {
		change(engine)
	}
}

// cores spreads a number of core machines over the zones, and sets how many of them
// may be lost.
func (s site) cores(number, tolerated int) {
	var cores []site
	s.machines("core", func(machine site) { cores = append(cores, machine) })
	for index, core := range cores {
		share := number / len(cores)
		if index < number%len(cores) {
			share++
		}
		core["count"] = int64(share)
	}
	s.table("tolerate")["machines"] = int64(tolerated)
}

// mergeZones makes one zone of all, by giving them the first one's name everywhere.
func (s site) mergeZones() {
	zones := s.list("zones")
	first := fmt.Sprint(zones[0]["name"])
	names := map[string]string{}
	for _, zone := range zones {
		names[fmt.Sprint(zone["name"])] = first
	}
	s.setList("zones", zones[:1])
	for _, key := range slices.Collect(maps.Keys(s)) {
		if key != "zones" {
			s[key] = renamed(s[key], names)
		}
	}
}

// renamed replaces each text that is a key of names, in tables and lists below.
func renamed(value any, names map[string]string) any {
	switch held := value.(type) {
	case string:
		if name, found := names[held]; found {
			return name
		}
	case map[string]any:
		for key := range held {
			held[key] = renamed(held[key], names)
		}
	case []map[string]any:
		for _, entry := range held {
			renamed(entry, names)
		}
	case []any:
		for index := range held {
			held[index] = renamed(held[index], names)
		}
	}
	return value
}

// splitRegions puts the last zone into a region of its own.
func (s site) splitRegions() {
	zones := s.list("zones")
	last := zones[len(zones)-1]
	last["region"] = fmt.Sprint(last["region"]) + "-far"
}

// chosenVariations are those whose name begins so.
func chosenVariations(only string) []variation {
	return slices.DeleteFunc(slices.Clone(variations), func(each variation) bool {
		return !strings.HasPrefix(each.name, only)
	})
}
