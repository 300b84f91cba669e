#!/usr/bin/env bash
# Measures requests sent directly to an upstream stand-in and requests sent through
# an entry. Prints latencies, requests per second and CPU time per request.
#
# usage: scripts/bench.sh [DIRECTORY]
# DIRECTORY contains the binaries to measure; default target/release.
set -euo pipefail
cd "$(dirname "$0")/.."

bin=${1:-$PWD/target/release}
load=$PWD/target/release/dotterelsill-load
work=$(mktemp -d)
pids=()
trap 'for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done; wait; rm -rf "$work"' EXIT

start() { # name, binary; reads the settings from standard input, sets pid
    cat >"$work/$1.yaml"
    "$2" --settings "$work/$1.yaml" 2>"$work/$1.log" &
    pid=$!
    pids+=("$pid")
}

cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }

measure() { # label, process id of the entry or empty, arguments of the load generator
    local label=$1 process=$2 before=0 after=0
    shift 2
    [ -z "$process" ] || before=$(cpu_ticks "$process")
    local line
    line=$("$load" "$@")
    [ -z "$process" ] || after=$(cpu_ticks "$process")
    echo "$line" | awk -v label="$label" -v ticks=$((after - before)) -v hz="$(getconf CLK_TCK)" '{
        for (i = 1; i <= NF; i++) { split($i, pair, "="); value[pair[1]] = pair[2] }
        cpu = value["answered"] ? ticks / hz / value["answered"] * 1e6 : 0
        printf "%-34s p50 %6d us  p99 %6d us  p99.9 %6d us  %7d/s  entry CPU %5.1f us/request\n", \
            label, value["p50_us"], value["p99_us"], value["p999_us"], value["answered_per_s"], cpu
    }'
}

start store "$bin/dotterelsill-standin-store" <<<'{ listen: "127.0.0.1:27000" }'
upstreams=""
for number in 1 2 3 4; do
    start "upstream-$number" "$bin/dotterelsill-standin-upstream" \
        <<<"{ listen: '127.0.0.1:2720$number', slots: 400, connections: 2000 }"
    upstreams+="      - { name: u$number, address: '127.0.0.1:2720$number', data_centre: a, rack: r$number, slots: 400, connections: 2000 }
"
done
cat >"$work/fleet.yaml" <<END
isolation_limit_s: 60
data_centres:
  - { name: a, region: south }
teams:
  - { name: kiosks, share_percent: 60, floor_requests: 4, limit_requests: 2000 }
services:
  - name: work
    depends_on: []
    availability_floor_percent: 50
    upstreams:
$upstreams
queues:
  - { name: keyed, service: work, urgency: 0, open: false, repeatable: true, timeout_ms: 5000, max_run_ms: 5000 }
END
for threads in 1 4 10; do
    start "entry-$threads" "$bin/dotterelsill-entry" <<END
instance: entry-$threads
data_centre: a
listen_callers: "127.0.0.1:27101"
listen_peers: "127.0.0.1:27111"
listen_admin: "127.0.0.1:27121"
store: "127.0.0.1:27000"
threads: $threads
END
    entry=$pid
    sleep 2
    if [ "$threads" = 1 ]; then
        "$bin/dotterelsill" --entry 127.0.0.1:27111 apply "$work/fleet.yaml" >/dev/null || true
        key=$({ "$bin/dotterelsill" --entry 127.0.0.1:27111 key give kiosks || true; } | sed -n 's/^key: //p')
    fi
    sleep 3
    through=(--target 127.0.0.1:27101 --path /q/keyed/x --key "$key" --duration-s 4)
    if [ "$threads" = 1 ]; then
        # Credits follow demand, so the first seconds are a warm-up and not measured.
        "$load" "${through[@]}" --rate 0 --connections 64 --threads 2 >/dev/null
        direct=(--target 127.0.0.1:27201 --path /q/keyed/x --duration-s 4)
        measure "direct, 500/s" "" "${direct[@]}" --rate 500 --connections 4
        measure "direct, 64 connections" "" "${direct[@]}" --rate 0 --connections 64 --threads 4
    else
        "$load" "${through[@]}" --rate 0 --connections 64 --threads 2 >/dev/null
    fi
    measure "entry $threads threads, 500/s" "$entry" "${through[@]}" --rate 500 --connections 4
    measure "entry $threads threads, 64 connections" "$entry" "${through[@]}" --rate 0 --connections 64 --threads 4
    kill "$entry"
    wait "$entry" 2>/dev/null || true
done
