#!/usr/bin/env bash
# Starts or stops a small fleet of separate processes on loopback: a stand-in platform, a stand-in
# database group and three nodes.
#   scripts/fleet.sh start | stop | status | node NUMBER (restarts a node)
set -eu
cd "$(dirname "$0")/.."
run=run
binary=${DEWKNOT_BINARY:-bin/dewknot}
key=${DEWKNOT_FLEET_KEY:-demo-fleet-key-0123456789}

launch() { # name, arguments...
	name=$1
	shift
	"$binary" "$@" >"$run/$name.log" 2>&1 &
	echo $! >"$run/$name.pid"
}

start_node() { # number, zone
	base=$((7000 + $1 * 10))
	launch "node$1" node --id "node$1" --zone "$2" --listen "127.0.0.1:$((base + 1))" --peer "127.0.0.1:$((base + 2))" \
		--gossip "127.0.0.1:$((base + 3))" --operator "127.0.0.1:$((base + 4))" --seeds 127.0.0.1:7013,127.0.0.1:7023,127.0.0.1:7033 \
		--store http://127.0.0.1:6000 --fleet-keys "$key" --authentication trust
}

# Ports of the fleet. They must be unused, so that the fleet does not connect to another one.
ports="6000 6100 6101 6102 6103 7011 7012 7014 7021 7022 7024 7031 7032 7034"

refuse_used_ports() {
	for port in $ports; do
		if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
			echo "fleet: port $port is in use; stop the other fleet with 'scripts/fleet.sh stop', or the process that uses the port" >&2
			exit 1
		fi
	done
}

# Moves the logs and the history of the previous run to a folder of their own.
keep_old_logs() {
	if ls "$run"/*.log >/dev/null 2>&1; then
		old="$run/logs-$(date +%Y%m%dT%H%M%S)"
		mkdir -p "$old"
		mv "$run"/*.log "$old/"
		if [ -e "$run/history.json" ]; then mv "$run/history.json" "$old/"; fi
	fi
}

# Terminates a process and waits until it has ended. It is killed after 10 s.
end_process() { # pid
	kill "$1" 2>/dev/null || return 0
	kill -CONT "$1" 2>/dev/null || true
	for _ in $(seq 100); do
		kill -0 "$1" 2>/dev/null || return 0
		sleep 0.1
	done
	kill -9 "$1" 2>/dev/null || true
	while kill -0 "$1" 2>/dev/null; do sleep 0.05; done
}

wait_ready() { # operator address
	for _ in $(seq 100); do
		if "$binary" status --node "$1" 2>/dev/null | grep -q 'ready true'; then return 0; fi
		sleep 0.1
	done
	echo "fleet: node at $1 did not become ready; see $run/*.log" >&2
	return 1
}

case "${1:-}" in
start)
	refuse_used_ports
	mkdir -p "$run"
	keep_old_logs
	launch platform standin platform
	launch database standin database --name bookings
	sleep 0.3
	for number in 1 2 3; do start_node "$number" "zone$number"; done
	for _ in $(seq 100); do
		if "$binary" group set bookings --node 127.0.0.1:7014 --as fleet --operation fleet-start --slots 5 --connections 40 \
			--servers zone1=127.0.0.1:6101,zone2=127.0.0.1:6102,zone3=127.0.0.1:6103 2>/dev/null; then break; fi
		sleep 0.1
	done
	for number in 1 2 3; do wait_ready "127.0.0.1:70${number}4"; done
	echo "fleet: callers connect to postgres://demo@127.0.0.1:7011/bookings (also :7021 and :7031)"
	;;
node)
	start_node "$2" "zone$2"
	;;
stop)
	for file in "$run"/*.pid; do
		[ -e "$file" ] || continue
		end_process "$(cat "$file")"
		rm -f "$file"
	done
	;;
status)
	"$binary" status --node 127.0.0.1:7014
	;;
*)
	echo "usage: scripts/fleet.sh start|stop|status|node NUMBER" >&2
	exit 64
	;;
esac
