package main

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"strings"
)

// disruption is one kind of disruption in one variant.
type disruption struct {
	kind string
	// planned work stands apart from faults in a day.
	planned bool
	// fields are further fields of the entry, in TOML.
	fields string
	// label tells variants of a kind apart.
	label string
}

// disruptions lists every kind that the bench knows, with its variants.
var disruptions = []disruption{
	{kind: "burst", fields: "x = 2.0, for_s = 5.0"},
	{kind: "retry_abuse", fields: "x = 3.0, share = 0.3, for_s = 5.0"},
	{kind: "give_up", fields: "share = 0.25, for_s = 5.0"},
	{kind: "srv_crash", fields: "share = 0.2, for_s = 4.0"},
	{kind: "srv_crash", fields: `share = 0.2, for_s = 4.0, how = "dark"`, label: "dark"},
	{kind: "srv_crash", fields: `share = 0.15, for_s = 4.0, how = "gone"`, label: "gone"},
	{kind: "srv_grey", fields: `share = 0.2, for_s = 5.0, how = "errors"`, label: "errors"},
	{kind: "srv_grey", fields: `share = 0.2, for_s = 5.0, how = "shed"`, label: "shed"},
	{kind: "srv_grey", fields: `share = 0.2, for_s = 5.0, how = "busy"`, label: "busy"},
	{kind: "srv_grey", fields: `share = 0.2, for_s = 5.0, how = "hang"`, label: "hang"},
	{kind: "srv_grey", fields: `share = 0.2, for_s = 5.0, how = "reset"`, label: "reset"},
	{kind: "srv_grey", fields: `share = 0.2, for_s = 5.0, how = "mute"`, label: "mute"},
	{kind: "srv_grey", fields: `share = 0.2, for_s = 5.0, how = "slow"`, label: "slow"},
	{kind: "release", planned: true, fields: "share = 0.5, x = 1.0, gap_s = 1.0"},
	{kind: "scale_in", planned: true, fields: "share = 0.15"},
	{kind: "scale_in", planned: true, fields: `share = 0.15, how = "spot"`, label: "spot"},
	{kind: "answer_lost", fields: "share = 0.5, x = 0.05, for_s = 5.0"},
	{kind: "answer_lost", fields: `how = "reset", share = 0.5, x = 0.2, for_s = 4.0`, label: "reset"},
	{kind: "garble", fields: "share = 0.5, x = 0.04, for_s = 5.0"},
	{kind: "garble", fields: `share = 0.5, x = 0.04, for_s = 5.0, how = "extra"`, label: "extra"},
	{kind: "garble", fields: `share = 0.5, x = 0.04, for_s = 5.0, how = "extra late"`, label: "extra-late"},
	{kind: "garble", fields: `share = 0.5, x = 0.04, for_s = 5.0, how = "unframed"`, label: "unframed"},
	{kind: "garble", fields: `share = 0.5, x = 0.04, for_s = 5.0, how = "early"`, label: "early"},
	{kind: "garble", fields: `share = 0.5, x = 0.04, for_s = 5.0, how = "rot"`, label: "rot"},
	{kind: "node_kill", fields: "share = 0.3, for_s = 2.0"},
	{kind: "node_kill", fields: `share = 0.3, for_s = 3.0, how = "power"`, label: "power"},
	{kind: "node_kill", fields: `on = "core", count = 1, how = "leader race drain"`, label: "leader"},
	{kind: "node_freeze", fields: "share = 0.3, for_s = 4.0"},
	{kind: "node_freeze", fields: `on = "core", count = 1, for_s = 4.0, how = "leader"`, label: "leader"},
	{kind: "roll_term", planned: true, fields: "share = 1.0, x = 1.0, gap_s = 1.2"},
	{kind: "roll_term", planned: true, fields: `how = "busy", gap_s = 1.0`, label: "busy"},
	{kind: "herd_kill", fields: "share = 0.6, for_s = 2.0"},
	{kind: "herd_kill", fields: `on = "core", for_s = 1.0`, label: "core"},
	{kind: "herd_kill", fields: `on = "core", for_s = 1.0, how = "off"`, label: "core-off"},
	{kind: "replace_core", planned: true, fields: "x = 1.0"},
	{kind: "replace_core", planned: true, fields: `x = 1.0, how = "planned"`, label: "planned"},
	{kind: "replace_core", planned: true, fields: `x = 1.0, how = "oldest"`, label: "oldest"},
	{kind: "after_ack_kill", fields: "for_s = 3.0"},
	{kind: "after_ack_kill", fields: `for_s = 3.0, how = "kill"`, label: "kill"},
	{kind: "after_ack_wipe", fields: "for_s = 3.0"},
	{kind: "after_ack_wipe", fields: `for_s = 3.0, how = "oldest"`, label: "oldest"},
	{kind: "disk_slow", fields: "count = 1, x = 30.0, for_s = 5.0"},
	{kind: "disk_slow", fields: `count = 1, x = 30.0, for_s = 5.0, how = "leader"`, label: "leader"},
	{kind: "disk_stall", fields: "count = 1, for_s = 4.0"},
	{kind: "disk_stall", fields: `count = 1, for_s = 4.0, how = "leader"`, label: "leader"},
	{kind: "disk_full", fields: "count = 1, for_s = 4.0"},
	{kind: "disk_full", fields: `count = 1, for_s = 4.0, how = "leader"`, label: "leader"},
	{kind: "core_cut", fields: "count = 1, for_s = 5.0"},
	{kind: "core_cut", fields: `count = 1, for_s = 5.0, how = "leader race"`, label: "leader-race"},
	{kind: "core_cut", fields: `count = 1, for_s = 5.0, how = "leader refuse race hard all"`, label: "leader-all"},
	{kind: "core_cut", fields: `for_s = 5.0, how = "split"`, label: "split"},
	{kind: "core_cut", fields: `count = 1, for_s = 5.0, how = "behind"`, label: "behind"},
	{kind: "core_cut", fields: `count = 1, for_s = 5.0, how = "one_way"`, label: "one-way"},
	{kind: "core_cut", fields: `count = 1, for_s = 5.0, how = "lure"`, label: "lure"},
	{kind: "core_cut", fields: `count = 1, for_s = 5.0, how = "relieve"`, label: "relieve"},
	{kind: "core_cut", fields: `count = 1, for_s = 5.0, how = "seeds"`, label: "seeds"},
	{kind: "core_cut", fields: `count = 1, for_s = 5.0, how = "both"`, label: "both"},
	{kind: "core_cut", fields: `count = 1, for_s = 5.0, how = "near"`, label: "near"},
	{kind: "lossy", fields: "x = 0.04, for_s = 5.0"},
	{kind: "config_change", planned: true, fields: `how = "route"`, label: "route"},
	{kind: "config_change", planned: true, fields: `how = "weights"`, label: "weights"},
	{kind: "config_change", planned: true, fields: `how = "timeout"`, label: "timeout"},
	{kind: "config_storm", planned: true, fields: "for_s = 4.0, gap_s = 0.3"},
	{kind: "config_race", planned: true, fields: "count = 3, gap_s = 1.0"},
	{kind: "bad_config", planned: true, fields: `count = 3, gap_s = 0.5, how = "cut_short"`, label: "cut-short"},
	{kind: "bad_config", planned: true, fields: `count = 3, gap_s = 0.5, how = "no_weight"`, label: "no-weight"},
	{kind: "bad_config", planned: true, fields: `count = 3, gap_s = 0.5, how = "no_timeout"`, label: "no-timeout"},
	{kind: "bad_config", planned: true, fields: `count = 3, gap_s = 0.5, how = "same_place"`, label: "same-place"},
	{kind: "bad_config", planned: true, fields: `count = 3, gap_s = 0.5, how = "unknown_service"`, label: "unknown-service"},
	{kind: "bad_config", planned: true, fields: `count = 3, gap_s = 0.5, how = "same_version"`, label: "same-version"},
	{kind: "bad_config", planned: true, fields: `count = 3, gap_s = 0.5, how = "old_version"`, label: "old-version"},
	{kind: "ack_lost", fields: "x = 0.7, for_s = 8.0"},
	{kind: "big_config", planned: true, fields: "count = 400"},
	{kind: "applied_late", fields: "x = 0.5, for_s = 6.0"},
	{kind: "applied_late", fields: `x = 0.5, for_s = 6.0, how = "cloud"`, label: "cloud"},
	{kind: "kv_slow", fields: "share = 0.3, for_s = 5.0"},
	{kind: "handle_short", fields: "share = 0.4, for_s = 4.0"},
	{kind: "srv_slow", fields: "share = 0.2, x = 4.0, for_s = 5.0"},
	{kind: "srv_cut", fields: "share = 0.2, for_s = 5.0"},
	{kind: "srv_cut", fields: `share = 0.2, for_s = 5.0, how = "fronts", x = 0.4`, label: "fronts"},
	{kind: "srv_cut", fields: `share = 0.2, for_s = 5.0, how = "some"`, label: "some"},
	{kind: "srv_cut", fields: `share = 0.2, for_s = 5.0, how = "reset"`, label: "reset"},
	{kind: "srv_lying_health", fields: "share = 0.2, for_s = 5.0"},
	{kind: "srv_flap", fields: "share = 0.2, for_s = 6.0"},
	{kind: "replace_with_reuse", fields: "share = 0.15"},
	{kind: "replace_with_reuse", fields: `share = 0.15, how = "drain"`, label: "drain"},
	{kind: "replace_with_reuse", fields: `share = 0.15, how = "dark"`, label: "dark"},
	{kind: "scale_out", planned: true, fields: "share = 0.3, gap_s = 1.0"},
	{kind: "node_slow", fields: "share = 0.2, x = 5.0, for_s = 5.0"},
	{kind: "node_slow", fields: `on = "core", count = 1, x = 5.0, for_s = 5.0, how = "leader"`, label: "leader"},
	{kind: "seed_turnover", planned: true},
	{kind: "clock_step", fields: `x = 2000.0, share = 0.4, for_s = 4.0, how = "ahead"`, label: "ahead"},
	{kind: "clock_step", fields: `x = 2000.0, share = 0.4, for_s = 4.0, how = "back"`, label: "back"},
	{kind: "hup", planned: true, fields: "share = 0.5, gap_s = 2.0"},
	{kind: "reset_conns", fields: "share = 0.4, x = 0.6"},
	{kind: "node_cut", fields: "share = 0.3, for_s = 5.0"},
	{kind: "node_cut", fields: `share = 0.3, for_s = 5.0, how = "all"`, label: "all"},
	{kind: "node_cut", fields: `share = 0.3, for_s = 5.0, how = "servers"`, label: "servers"},
	{kind: "add_nodes", planned: true, fields: "share = 0.8"},
}

// day is a day made of entries.
type day struct {
	name         string
	plan, faults []string
}

// Moments of a day, in seconds from the start of its traffic.
const (
	firstAt  = 4.0
	secondAt = 16.0
	pairedAt = 24.0
)

// daysOf makes a day of each disruption whose kind begins with a prefix: alone,
// again, and beside a coordinator that is killed.
func daysOf(prefix string) []day {
	var days []day
	for _, each := range disruptions {
		if !strings.HasPrefix(each.kind, prefix) {
			continue
		}
		days = append(days, dayOf(each))
	}
	return days
}

func dayOf(each disruption) day {
	made := day{name: each.kind}
	if each.label != "" {
		made.name += "-" + each.label
	}
	for _, at := range []float64{firstAt, secondAt, pairedAt} {
		made.add(each.planned, entry(each.kind, at, each.fields))
	}
	// Changes go on through the day, so that what is in force is seen.
	for _, at := range []float64{firstAt + 2, secondAt + 2, pairedAt + 3} {
		made.add(true, entry("config_change", at, `how = "route"`))
	}
	made.add(false, entry("node_kill", pairedAt+0.5, `on = "core", count = 1, for_s = 2.0`))
	return made
}

func (d *day) add(planned bool, text string) {
	if planned {
		d.plan = append(d.plan, text)
		return
	}
	d.faults = append(d.faults, text)
}

func entry(kind string, at float64, fields string) string {
	if fields != "" {
		fields = ", " + fields
	}
	return fmt.Sprintf("{ at = %.1f, kind = %q%s }", at, kind, fields)
}

var errNoQuietDay = errors.New("the site has no quiet day")

var (
	dayStart = regexp.MustCompile(`(?m)^\[\[day\]\]\n`)
	listOf   = func(key string) *regexp.Regexp {
		return regexp.MustCompile(`(?ms)^` + key + ` = \[.*?^\]\n|^` + key + ` = \[\]\n`)
	}
)

// quietDay returns the text of a site's first quiet day.
func quietDay(site string) (string, error) {
	content, err := os.ReadFile(site)
	if err != nil {
		return "", err
	}
	for _, text := range dayStart.Split(string(content), -1)[1:] {
		if strings.Contains(text, `slot = "quiet"`) {
			return text, nil
		}
	}
	return "", errNoQuietDay
}

// in puts the day's entries in the place of a quiet day's.
func (d *day) in(quiet string) string {
	text := listOf("plan").ReplaceAllLiteralString(quiet, list("plan", d.plan))
	text = listOf("faults").ReplaceAllLiteralString(text, list("faults", d.faults))
	return regexp.MustCompile(`(?m)^name = ".*"$`).ReplaceAllLiteralString(text, fmt.Sprintf("name = %q", d.name))
}

func list(key string, entries []string) string {
	if len(entries) == 0 {
		return key + " = []\n"
	}
	return key + " = [\n  " + strings.Join(entries, ",\n  ") + ",\n]\n"
}
