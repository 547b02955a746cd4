#!/usr/bin/env bash
# Tests a fleet of separate processes under kill -9, a freeze longer than every timeout, an
# unreachable primary, an outage of the store and a planned stop, and checks the recorded history.
# The exit code is 2 if a promise was violated.
set -eu
cd "$(dirname "$0")/.."
binary=${DEWKNOT_BINARY:-bin/dewknot}
run=run
trap 'scripts/fleet.sh stop' EXIT
scripts/fleet.sh start

"$binary" policy submit examples/shirebound.star --node 127.0.0.1:7014 --as fleet-test
"$binary" load --nodes 127.0.0.1:7011,127.0.0.1:7021,127.0.0.1:7031 --workload shirebound --duration 40s --sessions 16 \
	--control 127.0.0.1:6100 --save "$run/history.json" --planned-stop 1:31s:40s --lost 4s >"$run/load.log" 2>&1 &
load=$!

sleep 4
echo "fleet-test: disconnect the primary for 5 s"
"$binary" standin fault cut
sleep 5
for server in 0 1 2; do "$binary" standin fault cut --off --server "$server"; done

sleep 2
echo "fleet-test: kill -9 node3, restart it after 3 s"
kill -9 "$(cat "$run/node3.pid")"
sleep 3
scripts/fleet.sh node 3

sleep 3
echo "fleet-test: the store is down for 6 s; freeze node2 for 7 s"
"$binary" standin store-fault down
kill -STOP "$(cat "$run/node2.pid")"
sleep 6
"$binary" standin store-fault down --off
sleep 1
kill -CONT "$(cat "$run/node2.pid")"

sleep 6
echo "fleet-test: planned stop of node1"
kill -TERM "$(cat "$run/node1.pid")"

if ! wait "$load"; then
	cat "$run/load.log"
	echo "fleet-test: failed" >&2
	exit 2
fi
cat "$run/load.log"
"$binary" check history "$run/history.json"
echo "fleet-test: passed"
