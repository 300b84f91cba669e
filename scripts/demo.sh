#!/usr/bin/env bash
# Builds all binaries, starts three entries with stand-ins for the store and the
# upstreams on loopback, sends requests, prints the results and stops all processes.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --release --workspace --bins --quiet
bin=$PWD/target/release
work=$(mktemp -d)
pids=()

stop() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}
trap stop EXIT

start() { # name, binary; reads the settings from standard input
    cat >"$work/$1.yaml"
    "$bin/$2" --settings "$work/$1.yaml" 2>"$work/$1.log" &
    pids+=($!)
}

await() { # command to retry until the system is ready
    for _ in $(seq 100); do
        "$@" >/dev/null 2>&1 && return
        sleep 0.1
    done
    echo "not ready after 10 s: $*" >&2
    cat "$work"/*.log >&2
    exit 1
}

start store dotterelsill-standin-store <<<'{ listen: "127.0.0.1:27000", delay_ms: 3 }'
for port in 27201 27202 27203 27204; do
    start "upstream-$port" dotterelsill-standin-upstream \
        <<<"{ listen: '127.0.0.1:$port', slots: 8, connections: 64, service_time_us: 2000 }"
done
number=0
for dc in a b c; do
    number=$((number + 1))
    start "entry-$dc" dotterelsill-entry <<END
instance: entry-$dc
data_centre: $dc
listen_callers: "127.0.0.1:2710$number"
listen_peers: "127.0.0.1:2711$number"
listen_admin: "127.0.0.1:2712$number"
store: "127.0.0.1:27000"
threads: 2
balancer_grace_ms: 100
shutdown_timeout_ms: 10000
END
done

ctl() {
    echo "\$ dotterelsill $*"
    "$bin/dotterelsill" --entry 127.0.0.1:27111 "$@" || echo "exit code $?"
}
load() {
    echo "\$ dotterelsill-load $*"
    "$bin/dotterelsill-load" "$@" || echo "exit code $?"
}

await "$bin/dotterelsill" --entry 127.0.0.1:27111 status
ctl check demo/fleet.yaml
ctl apply demo/fleet.yaml
sed 's/limit_requests: 24/limit_requests: 20/' demo/fleet.yaml >"$work/fleet.yaml"
ctl apply --dry-run "$work/fleet.yaml"
ctl key give kiosks | tee "$work/key"
key=$(sed -n 's/^key: //p' "$work/key")
fingerprint=$(sed -n 's/^fingerprint: //p' "$work/key")
sleep 1.5
ctl status
load --target 127.0.0.1:27102 --path /q/permit-check/scan --rate 1000 --duration-s 3
load --target 127.0.0.1:27103 --path /q/refund/pay --key "$key" --rate 200 --duration-s 2 --idempotency
ctl dc out b
load --target 127.0.0.1:27101 --path /q/permit-check/scan --rate 500 --duration-s 2
ctl dc in b
ctl key withdraw "$fingerprint"
sleep 1.5
load --target 127.0.0.1:27103 --path /q/refund/pay --key "$key" --rate 100 --duration-s 1 --idempotency
