#!/usr/bin/env bash
# The whole path on loopback, for one deployment: stand-ins for the platform and 50 runners, the four
# entry VMs' daemons, the two tables applied, a streamed chat and a keyed call by curl, the group that
# served, the trace, and a graceful stop. Exit 0 only if every step went as it should.
# usage: deployments/demo.sh DEPLOYMENT BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${1:-fjordgrode}
bin=$2
work=$(mktemp -d)
pids=()
finish() {
    status=$?
    for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
    if [ $status != 0 ]; then echo "demo: failed, last log lines:" >&2; tail -n 5 "$work"/*.log >&2; fi
    rm -rf "$work"
}
trap finish EXIT

step() { printf '\n== %s\n' "$*"; }
field() { python3 -c 'import json,sys; d=json.load(open(sys.argv[1]))
for k in sys.argv[2].split("."): d=d[int(k)] if k.isdigit() else d[k]
print(d)' "$@"; }
wait_for() { # SECONDS COMMAND...
    local end=$((SECONDS + $1)); shift
    until "$@" >/dev/null 2>&1; do
        [ $SECONDS -lt $end ] || { echo "demo: gave up waiting for: $*" >&2; return 1; }
        sleep 0.1
    done
}

case $deployment in
    fjordgrode) domains=bergen-a,bergen-b,forde-c model=bulletin-70b path=/orders
                question="Summarise this morning's urea prices." ;;
    apred) domains=lima-norte,lima-centro,lima-sur model=rutas-70b path=/records
           question="Which ducts cross Avenida Arequipa at block 12?" ;;
    *) echo "demo: no deployment '$deployment' in deployments/" >&2; exit 2 ;;
esac

step "stand-ins: key-value service, VM list, weight store, 50 runners, 3 plain servers"
"$bin/jaynotch-standin" fleet --engines=50 --fabric_domains=6 --failure_domains="$domains" \
    --plain=plain-1,plain-2,plain-3 --out="$work/fleet.json" >"$work/standin.log" 2>&1 &
pids+=($!); standin=$!
wait_for 20 test -s "$work/fleet.json"
kv=$(field "$work/fleet.json" kv) vms=$(field "$work/fleet.json" vms)
weights=$(field "$work/fleet.json" weights)
echo "key-value service at $kv, VM list at $vms"

step "the two tables of deployments/$deployment, with the plain servers' addresses of this run"
mkdir "$work/tables"
cp "deployments/$deployment/routes.toml" "deployments/$deployment/pools.toml" "$work/tables"
for i in 0 1 2; do
    sed -i "s/\"127.0.0.1:18[12]0$((i + 1))\"/\"$(field "$work/fleet.json" plain.$i.address)\"/" "$work/tables/pools.toml"
done
"$bin/jaynotch" validate --dir "$work/tables"

step "four entry VMs"
port=${DEMO_PORT:-18400}
admins="" seeds="" daemons=() n=0
for settings in "deployments/$deployment"/*.env; do
    seeds+="${seeds:+,}127.0.0.1:$((port + 10 + n))"; n=$((n + 1))
done
n=0
for settings in "deployments/$deployment"/*.env; do
    node=$(basename "$settings" .env)
    (set -a; . "$settings"; set +a
     exec "$bin/jaynotchd" --listen=127.0.0.1:$((port + n)) --peer_listen=127.0.0.1:$((port + 10 + n)) \
        --admin_listen=127.0.0.1:$((port + 20 + n)) --seed_peers="$seeds" --key_value="$kv" \
        --vm_list="$vms" --weight_store="$weights" --balancer_wait_ms=200 \
        --trace_file="$work/$node.trace" >"$work/$node.log" 2>&1) &
    pids+=($!); daemons+=($!)
    admins+="${admins:+,}127.0.0.1:$((port + 20 + n))"
    echo "$node: callers at 127.0.0.1:$((port + n)), admin at 127.0.0.1:$((port + 20 + n))"
    n=$((n + 1))
done
wait_for 20 "$bin/jaynotch" status --admin="$admins"
all_joined() { [ "$("$bin/jaynotch" nodes --admin="$admins" | grep -c alive)" = "$n" ]; }
wait_for 20 all_joined

step "jaynotch apply --wait"
"$bin/jaynotch" apply --wait --dir "$work/tables" --admin="$admins" --author demo --message "first tables"

step "groups form, load and become complete"
some_complete() { "$bin/jaynotch" groups --admin="$admins" | grep -E '^[^ ]+ ' | grep -qw true; }
wait_for 60 some_complete
caller=127.0.0.1:$port
wait_for 20 curl -sf "http://$caller/readyz"

step "curl: a streamed chat"
answer="$work/answer"
ask() { curl -sS -N -D "$work/headers" -o "$answer" "http://$caller/v1/chat/completions" \
    -H 'Content-Type: application/json' -H 'jaynotch-workspace: demo' \
    -d "{\"model\":\"$model\",\"stream\":true,\"max_tokens\":12,\"messages\":[{\"role\":\"user\",\"content\":\"$question\"}]}" \
    && grep -q '^data: \[DONE\]' "$answer"; }
wait_for 30 ask
cat "$answer"

step "curl: a keyed call, and the same again: one record"
order() { curl -sS "http://$caller$path" -H 'Idempotency-Key: demo-1' -H 'jaynotch-workspace: demo' -d 'one'; }
first=$(order); second=$(order)
echo "$first"
[ "$first" = "$second" ] || { echo "demo: the repeat answered otherwise: $second" >&2; exit 1; }

step "the group that served, from the nodes' view"
"$bin/jaynotch" groups --admin="$admins" | head -12
"$bin/jaynotch" nodes --admin="$admins"

step "the trace of the chat: a span for each hop"
trace=$(grep -i '^traceparent:' "$work/headers" | cut -d- -f2 || true)
[ -n "$trace" ] || { echo "demo: the answer has no traceparent" >&2; exit 1; }
sleep 0.5
python3 - "$trace" "$work"/*.trace <<'P'
import json, sys
wanted, spans = sys.argv[1], []
def walk(value):
    if isinstance(value, dict):
        if value.get("traceId") == wanted and "spanId" in value:
            spans.append(value)
        for inner in value.values():
            walk(inner)
    elif isinstance(value, list):
        for inner in value:
            walk(inner)
for path in sys.argv[2:]:
    for line in open(path):
        walk(json.loads(line))
spans.sort(key=lambda span: int(span["startTimeUnixNano"]))
for span in spans:
    took = (int(span["endTimeUnixNano"]) - int(span["startTimeUnixNano"])) / 1e6
    print(f'{span["name"]:<24} {took:8.2f} ms  span {span["spanId"]}  parent {span.get("parentSpanId", "")}')
sys.exit(0 if len(spans) >= 3 else "demo: fewer than three spans")
P

step "graceful stop"
kill -TERM "${daemons[@]}"
for pid in "${daemons[@]}"; do wait "$pid"; done
kill -TERM "$standin"; wait "$standin" || true
pids=()
echo "all stopped, exit 0"
