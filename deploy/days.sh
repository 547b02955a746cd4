#!/usr/bin/env bash
# Writes scenario files ("days") for the users' test bench into a folder: one for each kind of
# fault or change, which occurs twice, and optionally random pairs of kinds that overlap. Run them
# with
#
#     fleetbench run SITE FOLDER/NAME.toml --why "…"
#
# With the SITE file of a large deployment the scenarios can be run at its small size (--small).
#
# Usage: deploy/days.sh FOLDER [PAIRS SEED [SITE]]
set -euo pipefail

# Each line: the list that the entry belongs to, a name, and the entry without its time.
kinds() {
	cat <<'KINDS'
faults burst kind = "burst", x = 2.5, for_s = 4.0
faults rude-slowloris kind = "rude", count = 8, for_s = 6.0, how = "slowloris"
faults rude-idle kind = "rude", count = 20, for_s = 6.0, how = "idle_herd"
faults rude-flood kind = "rude", count = 8, for_s = 6.0, how = "flood"
faults rude-leave kind = "rude", count = 8, for_s = 6.0, how = "early_leave"
faults rude-half kind = "rude", count = 8, for_s = 6.0, how = "half_close"
faults rude-reader kind = "rude", count = 8, for_s = 6.0, how = "slow_reader"
faults rude-smuggle kind = "rude", count = 8, for_s = 6.0, how = "smuggle"
faults crash kind = "srv_crash", share = 0.34, for_s = 5.0
faults crash-dark kind = "srv_crash", share = 0.34, for_s = 5.0, how = "dark"
faults crash-gone kind = "srv_crash", share = 0.34, how = "gone"
faults crash-primary kind = "srv_crash", for_s = 5.0, how = "primary"
faults crash-primary-dark kind = "srv_crash", for_s = 5.0, how = "primary dark"
faults crash-primary-gone kind = "srv_crash", how = "primary gone"
faults grey-errors kind = "srv_grey", share = 0.34, x = 0.5, for_s = 5.0, how = "errors"
faults grey-shed kind = "srv_grey", share = 0.34, x = 0.5, for_s = 5.0, how = "shed"
faults grey-busy kind = "srv_grey", share = 0.34, x = 0.5, for_s = 5.0, how = "busy"
faults grey-hang kind = "srv_grey", share = 0.34, x = 0.5, for_s = 5.0, how = "hang"
faults grey-reset kind = "srv_grey", share = 0.34, x = 0.5, for_s = 5.0, how = "reset"
faults grey-mute kind = "srv_grey", share = 0.34, x = 0.5, for_s = 5.0, how = "mute"
faults grey-slow kind = "srv_grey", share = 0.34, x = 8.0, for_s = 5.0, how = "slow"
faults lying kind = "srv_lying_health", share = 0.34, for_s = 5.0, how = "errors"
faults lying-bad kind = "srv_lying_health", share = 0.34, for_s = 5.0, how = "bad"
faults flap kind = "srv_flap", share = 0.34, gap_s = 1.0, for_s = 6.0
plan release kind = "release", share = 0.6, x = 1.0, gap_s = 1.5
plan release-primary kind = "release", how = "primary"
faults answer-lost kind = "answer_lost", share = 0.6, x = 0.1, for_s = 6.0
faults kill kind = "node_kill", share = 0.3, for_s = 2.0
faults kill-power kind = "node_kill", share = 0.3, for_s = 3.0, how = "power"
faults kill-leader kind = "node_kill", on = "core", count = 1, for_s = 3.0, how = "leader race drain hard"
faults slow kind = "node_slow", share = 0.4, x = 6.0, for_s = 6.0
plan roll kind = "roll_term", share = 1.0, x = 1.0, gap_s = 1.2
plan roll-remove kind = "roll_term", share = 0.4, x = 1.0, gap_s = 1.2, how = "remove"
plan roll-busy kind = "roll_term", share = 0.5, x = 1.0, gap_s = 1.2, how = "busy"
faults herd kind = "herd_kill", share = 0.7
faults herd-power kind = "herd_kill", share = 0.7, how = "power", for_s = 2.0
faults herd-core kind = "herd_kill", on = "core", how = "off", for_s = 1.0
faults herd-taken kind = "herd_kill", on = "core", how = "taken all", for_s = 1.0
plan add kind = "add_nodes"
faults core-cut kind = "core_cut", count = 2, for_s = 6.0
faults core-cut-split kind = "core_cut", for_s = 6.0, how = "split"
faults core-cut-leader kind = "core_cut", for_s = 6.0, how = "leader race drain"
faults core-cut-all kind = "core_cut", count = 2, for_s = 6.0, how = "all"
faults core-cut-near kind = "core_cut", count = 2, for_s = 6.0, how = "near"
faults core-cut-one-way kind = "core_cut", count = 2, for_s = 6.0, how = "one_way"
faults core-cut-reset kind = "core_cut", count = 2, for_s = 6.0, how = "reset"
faults core-cut-both kind = "core_cut", count = 2, for_s = 6.0, how = "both"
faults core-cut-lure kind = "core_cut", count = 2, for_s = 6.0, how = "lure"
faults core-cut-relieve kind = "core_cut", count = 2, for_s = 6.0, how = "relieve"
faults cut kind = "node_cut", share = 0.4, for_s = 6.0
faults cut-all kind = "node_cut", share = 0.4, for_s = 6.0, how = "all"
faults cut-servers kind = "node_cut", share = 0.34, for_s = 6.0, how = "servers"
faults lossy kind = "lossy", x = 0.08, for_s = 6.0
faults down-silent kind = "platform_down", for_s = 5.0, how = "silent"
faults down-busy kind = "platform_down", for_s = 5.0, how = "busy"
faults down-reset kind = "platform_down", for_s = 5.0, how = "reset"
faults down-lapse kind = "platform_down", for_s = 5.0, how = "silent lapse"
faults down-nodes-busy kind = "platform_down", share = 0.5, for_s = 6.0, how = "nodes busy"
faults down-nodes-many kind = "platform_down", share = 0.5, for_s = 6.0, how = "nodes many"
faults down-nodes-reset kind = "platform_down", share = 0.5, for_s = 6.0, how = "nodes reset"
faults down-nodes-leader kind = "platform_down", share = 0.5, for_s = 6.0, how = "nodes leader revoke"
faults store-slow kind = "platform_slow", x = 80.0, for_s = 5.0
faults store-lost kind = "platform_lost", x = 0.5, for_s = 6.0
faults store-late kind = "platform_lost", x = 0.5, for_s = 6.0, how = "late"
faults compact kind = "platform_compact", x = 5.0, for_s = 6.0
faults compact-drain kind = "platform_compact", x = 5.0, for_s = 6.0, how = "drain"
plan storm kind = "config_storm", for_s = 4.0, gap_s = 0.1
plan route kind = "config_change", how = "route"
plan timeout kind = "config_change", how = "timeout"
plan big kind = "big_config", count = 600
faults lag kind = "replica_lag", share = 1.0, x = 80.0, for_s = 6.0
faults lag-deaf kind = "replica_lag", share = 0.5, for_s = 5.0, how = "deaf"
faults lag-deaf-crash kind = "replica_lag", count = 1, x = 60.0, for_s = 6.0, how = "deaf crash"
faults primary-cut kind = "primary_cut", share = 0.6, for_s = 6.0
faults primary-cut-replicas kind = "primary_cut", share = 0.4, for_s = 6.0, how = "replicas"
faults primary-cut-core kind = "primary_cut", share = 0.4, for_s = 6.0, how = "core"
faults primary-cut-all kind = "primary_cut", share = 1.0, for_s = 6.0, how = "replicas core"
faults late-cloud kind = "applied_late", x = 0.7, for_s = 6.0, how = "cloud"
faults late-all kind = "applied_late", x = 0.7, for_s = 6.0, how = "all"
faults srv-cut kind = "srv_cut", share = 0.34, for_s = 6.0
faults srv-cut-fronts kind = "srv_cut", share = 0.34, x = 0.5, for_s = 6.0, how = "fronts"
faults srv-cut-some kind = "srv_cut", share = 0.34, x = 0.5, for_s = 6.0, how = "some"
faults srv-cut-lossy kind = "srv_cut", share = 0.34, x = 0.5, for_s = 6.0, how = "some lossy"
faults freeze kind = "node_freeze", share = 0.4, for_s = 3.0
faults freeze-leader kind = "node_freeze", on = "core", count = 1, for_s = 4.0, how = "leader race"
faults after-ack kind = "after_ack_kill", for_s = 3.0, how = "kill"
faults after-ack-taken kind = "after_ack_kill", count = 2, for_s = 3.0, how = "taken"
faults clock-ahead kind = "clock_step", share = 0.5, x = 4000.0, for_s = 6.0, how = "ahead"
faults clock-back kind = "clock_step", share = 0.5, x = 4000.0, for_s = 6.0, how = "back"
faults hot-tenant kind = "hot_tenant", x = 4.0, count = 1, for_s = 6.0
faults revoke kind = "revoke", count = 4, gap_s = 0.5
faults revoke-last kind = "revoke", count = 4, gap_s = 0.5, how = "last"
plan quota kind = "config_change", how = "quota"
plan quota-down kind = "config_change", how = "quota down"
plan tenant kind = "config_change", how = "tenant"
plan topup kind = "config_change", how = "topup"
faults hup kind = "hup", share = 0.5, gap_s = 0.5
faults reset kind = "reset_conns", share = 0.5, x = 0.6
KINDS
}

# write_day FILE NAME ENTRY… writes a scenario. An entry is "plan AT TEXT" or "faults AT TEXT".
write_day() {
	local file=$1 name=$2 entry where at text part # small (of main): the site's line for --small, if any
	shift 2
	{
		printf '[[day]]\nname = "%s"\nslot = "trouble"\nseed = 4711\n' "$name"
		printf '%s' "$small"
		for part in plan faults; do
			printf '%s = [\n' "$part"
			[ "$part" = plan ] && printf '  { at = 9.0, kind = "config_change", how = "timeout" },\n  { at = 21.0, kind = "config_change", how = "idle" },\n'
			for entry in "$@"; do
				read -r where at text <<<"$entry"
				[ "$where" = "$part" ] && printf '  { at = %s, %s },\n' "$at" "$text"
			done
			printf ']\n'
		done
	} >"$file"
}

main() {
	local folder=$1 pairs=${2:-0} where name text first second i
	RANDOM=${3:-1}
	small=""
	[ -z "${4:-}" ] || small=$(grep -m1 '^small = ' "$4")$'\n'
	mkdir -p "$folder"
	while read -r where name text; do
		write_day "$folder/$name.toml" "$name" "$where 4.0 $text" "$where 16.0 $text"
	done < <(kinds)
	mapfile -t all < <(kinds)
	for ((i = 0; i < pairs; i++)); do
		first=${all[RANDOM % ${#all[@]}]}
		second=${all[RANDOM % ${#all[@]}]}
		write_day "$folder/pair-$i.toml" "pair-$i" \
			"${first%% *} $((2 + RANDOM % 6)).$((RANDOM % 10)) $(cut -d' ' -f3- <<<"$first")" \
			"${second%% *} $((4 + RANDOM % 6)).$((RANDOM % 10)) $(cut -d' ' -f3- <<<"$second")" \
			"${second%% *} $((13 + RANDOM % 4)).$((RANDOM % 10)) $(cut -d' ' -f3- <<<"$second")" \
			"${first%% *} $((14 + RANDOM % 5)).$((RANDOM % 10)) $(cut -d' ' -f3- <<<"$first")"
	done
}

main "$@"
