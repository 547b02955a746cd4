#!/usr/bin/env bash
# Runs random faults against real processes (docs/SOAK.md): scripts/soak.sh [SECONDS [SEED [NODES]]].
# With DEWKNOT_SOAK_SERVED=1 it measures what share of the load is served by a fleet of 9 nodes instead,
# under the faults that DEWKNOT_SOAK_FAULTS names ("calm", "series", names; all, one by one, by default).
# With DEWKNOT_SOAK_PLANNED=1 it plays planned work only, with at most one server that does not answer.
# With DEWKNOT_SOAK_UNFENCED=1 the platform does not check fencing tokens.
# Nodes that end are restarted. The logs of a failed run are kept, and their folder is printed. The
# script only terminates processes that it started, by their ids.
set -euo pipefail
cd "$(dirname "$0")/.."

# supervise NODE runs a node and restarts it until the soak test is over.
supervise() {
	local node=$1
	while [ ! -e "$dir/stop" ]; do
		if [ -e "$dir/node-$node.hold" ]; then
			sleep 0.05
			continue
		fi
		"$dir/dewknot-proxy" run --settings "$dir/node-$node.toml" >>"$dir/node-$node.log" 2>&1 &
		echo $! >"$dir/node-$node.pid"
		wait $! 2>/dev/null || true
		rm -f "$dir/node-$node.pid"
		sleep 0.3
	done
}

# end_nodes terminates all nodes. It also runs after a failure.
end_nodes() {
	touch "$dir/stop"
	local pid_file pid
	for pid_file in "$dir"/node-*.pid; do
		[ -e "$pid_file" ] || continue
		pid=$(cat "$pid_file")
		kill -CONT "$pid" 2>/dev/null || true
		kill -TERM "$pid" 2>/dev/null || true
	done
	wait
	[ "$kept" = yes ] || rm -rf "$dir"
}

main() {
	local seconds=${1:-60} seed=${2:-$RANDOM} nodes=${3:-9} status=0 node driver
	dir=$(mktemp -d "${TMPDIR:-/tmp}/dewknot-soak.XXXXXX")
	go build -o "$dir/dewknot-proxy" ./cmd/dewknot-proxy
	# The race detector would slow down the callers, whose answers are timed.
	local name=TestSoak race=-race
	if [ -n "${DEWKNOT_SOAK_SERVED:-}" ]; then
		name=TestServedSoak race= nodes=9
	fi
	go test -c $race -o "$dir/soak.test" ./platform
	DEWKNOT_SOAK_DIR=$dir DEWKNOT_SOAK_SEED=$seed DEWKNOT_SOAK_SECONDS=$seconds DEWKNOT_SOAK_NODES=$nodes \
		"$dir/soak.test" -test.run "^$name\$" -test.count=1 -test.timeout 30m -test.v >"$dir/soak.log" 2>&1 &
	driver=$!
	until [ -e "$dir/ready" ] || ! kill -0 "$driver" 2>/dev/null; do sleep 0.05; done
	kept=yes
	trap end_nodes EXIT
	for ((node = 0; node < nodes; node++)); do
		supervise "$node" 2>/dev/null &
	done
	wait "$driver" || status=$?
	grep -E 'seed [0-9]+,|served|sizes|--- FAIL|violat' "$dir/soak.log" | head -20 || true
	if [ "$status" -ne 0 ]; then
		echo "soak failed with seed $seed ($nodes nodes, $seconds s); logs: $dir" >&2
		exit 1
	fi
	kept=no
}

main "$@"
exit 0
