#!/usr/bin/env bash
# Measures memory, CPU use, store calls and network traffic of one entry, and the
# time until a change is in force, as the fleet grows. Prints the measured part of
# docs/CAPACITY.md as tables.
#
# Traffic is read from the byte counters of the loopback interface, so nothing else
# may use that interface during the run.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --release --workspace --bins --quiet
bin=$PWD/target/release
work=$(mktemp -d)
pids=()
seconds=${SECONDS_IDLE:-20}

stop_all() {
    for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT

start() { # name, binary; reads the settings from standard input, sets pid
    cat >"$work/$1.yaml"
    "$bin/$2" --settings "$work/$1.yaml" 2>>"$work/$1.log" &
    pid=$!
    pids+=("$pid")
}

entry() { # number, data centre
    start "entry-$1" dotterelsill-entry <<END
instance: entry-$1
data_centre: dc$2
listen_callers: "127.0.0.1:$((27300 + $1))"
listen_peers: "127.0.0.1:$((27400 + $1))"
listen_admin: "127.0.0.1:$((27500 + $1))"
store: "127.0.0.1:27000"
threads: 2
log_level: warn
END
}

# Prints a configuration with the given numbers of teams, services and upstreams
# per service.
text() { # teams, services, upstreams
    awk -v teams="$1" -v services="$2" -v upstreams="$3" 'BEGIN {
        print "isolation_limit_s: 60\ndata_centres:"
        for (d = 0; d < 8; d++) printf "  - { name: dc%d, region: r%d }\n", d, d % 2
        print "teams:"
        for (t = 0; t < teams; t++)
            printf "  - { name: team%d, share_percent: %d, floor_requests: 1, limit_requests: 200 }\n", t, int(100 / teams)
        print "services:"
        for (s = 0; s < services; s++) {
            printf "  - name: service%d\n    depends_on: []\n    availability_floor_percent: 50\n    upstreams:\n", s
            for (u = 0; u < upstreams; u++)
                printf "      - { name: s%du%d, address: \"10.%d.%d.1:80\", data_centre: dc%d, rack: r%d, slots: 8, connections: 64 }\n", s, u, s, u, u % 8, u
        }
        print "queues:"
        for (s = 0; s < services; s++)
            printf "  - { name: queue%d, service: service%d, urgency: 1, open: false, repeatable: true, timeout_ms: 2000, max_run_ms: 5000 }\n", s, s
    }'
}

cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
rss_kb() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
loopback_bytes() { awk '/lo:/ {print $2}' /proc/net/dev; }
store_calls() { "$bin/dotterelsill" --entry 127.0.0.1:27401 status | awk '/store calls/ {print $3}'; }

# Prints memory, CPU use, store calls per second and loopback bytes per second of
# one idle entry. The bytes are the average over all entries.
idle() { # pid, number of entries
    local ticks calls bytes
    ticks=$(cpu_ticks "$1")
    calls=$(store_calls)
    bytes=$(loopback_bytes)
    sleep "$seconds"
    bytes=$(($(loopback_bytes) - bytes))
    calls=$(($(store_calls) - calls))
    ticks=$(($(cpu_ticks "$1") - ticks))
    awk -v rss="$(rss_kb "$1")" -v ticks="$ticks" -v hz="$(getconf CLK_TCK)" -v calls="$calls" \
        -v bytes="$bytes" -v entries="$2" -v s="$seconds" 'BEGIN {
        printf "%.1f MB | %.2f%% | %.1f | %.1f KB/s |\n", rss / 1024, 100 * ticks / hz / s, calls / s, bytes / s / entries / 1000
    }'
}

apply() { "$bin/dotterelsill" --entry 127.0.0.1:27401 apply "$1" >/dev/null; }

echo "Size of the configuration (1 entry, idle for $seconds s):"
echo
echo "| teams | services | upstreams | text | memory | CPU of one core | store calls/s | bytes |"
echo "|---|---|---|---|---|---|---|---|"
for size in "6 15 13" "13 29 14" "26 58 14" "52 116 14"; do
    read -r teams services upstreams <<<"$size"
    start store dotterelsill-standin-store <<<'{ listen: "127.0.0.1:27000" }'
    entry 1 0
    one=$pid
    sleep 2
    text "$teams" "$services" "$upstreams" >"$work/fleet.yaml"
    apply "$work/fleet.yaml"
    sleep 3
    printf '| %s | %s | %s | %s KB | ' "$teams" "$services" "$((services * upstreams))" "$(($(wc -c <"$work/fleet.yaml") / 1000))"
    idle "$one" 1
    stop_all
done

echo
echo "Number of entries (26 teams, 58 services, 812 upstreams, idle for $seconds s):"
echo
echo "| entries | time until a change was in force | memory of one | CPU of one core | store calls/s of one | bytes of one |"
echo "|---|---|---|---|---|---|"
for entries in 2 4 8 16; do
    start store dotterelsill-standin-store <<<'{ listen: "127.0.0.1:27000", delay_ms: 3 }'
    for number in $(seq "$entries"); do
        entry "$number" $((number % 8))
        [ "$number" != 1 ] || one=$pid
    done
    sleep 3
    text 26 58 14 >"$work/fleet.yaml"
    apply "$work/fleet.yaml"
    sleep 4
    begin=$(date +%s%N)
    sed 's/limit_requests: 200/limit_requests: 201/' "$work/fleet.yaml" >"$work/next.yaml"
    apply "$work/next.yaml"
    taken_ms=$((($(date +%s%N) - begin) / 1000000))
    printf '| %s | %s ms | ' "$entries" "$taken_ms"
    idle "$one" "$entries"
    stop_all
done

echo
echo "Callers' connections (1 entry, idle connections):"
echo
echo "| connections | memory |"
echo "|---|---|"
start store dotterelsill-standin-store <<<'{ listen: "127.0.0.1:27000" }'
entry 1 0
one=$pid
sleep 2
text 26 58 14 >"$work/fleet.yaml"
apply "$work/fleet.yaml"
for connections in 0 500 1000 2000; do
    if [ "$connections" -gt 0 ]; then
        "$bin/dotterelsill-load" --target 127.0.0.1:27301 --path /q/queue0/x --rate 0 \
            --connections "$connections" --duration-s 6 >/dev/null &
        load=$!
        sleep 3
    fi
    printf '| %s | %.1f MB |\n' "$connections" "$(awk -v kb="$(rss_kb "$one")" 'BEGIN {print kb / 1024}')"
    [ "$connections" = 0 ] || wait "$load" || true
done
