# Functions shared by the measurement scripts: a fleet of daemons and stand-in upstreams on loopback.
# Everything started is ended by its process id when the script ends.

bin=target/release
# Ports from here on are used: callers, then admin, peer and upstream ports.
base=${BASE_PORT:-$((20000 + RANDOM % 20 * 500))}
caller=$base admin=$((base + 100)) peer=$((base + 200)) upstream=$((base + 300))
platform=$((base + 400))
dir=$(mktemp -d)
pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait "${pids[@]}" 2>/dev/null || true
  pids=()
}
trap 'stop_all; rm -rf "$dir"' EXIT
trap 'exit 1' INT TERM

# settings INDEX HOSTS UPSTREAMS SLOTS POLICY: writes the settings file of one entry host.
settings() {
  local index=$1 hosts=$2 upstreams=$3 slots=$4 policy=$5 list="" peers="" i
  for ((i = 0; i < upstreams; i++)); do
    list+="${list:+,}{\"name\":\"u$i\",\"address\":\"127.0.0.1:$((upstream + i))\",\"data_centre\":\"dc$((i % 3))\"}"
  done
  for ((i = 0; i < hosts; i++)); do
    if [ "$i" != "$index" ]; then
      peers+="${peers:+,}{\"host\":\"e$i\",\"data_centre\":\"dc$((i % 3))\",\"address\":\"127.0.0.1:$((peer + i))\"}"
    fi
  done
  cat > "$dir/e$index.json" <<JSON
{
  "host": "e$index", "data_centre": "dc$((index % 3))", "policy": "$policy", "fleet_size_max": 18,
  "caller": "127.0.0.1:$((caller + index))", "admin": "127.0.0.1:$((admin + index))",
  "peer": "127.0.0.1:$((peer + index))", "peers": [$peers],
  "services": [{"name": "s", "profile": "p", "slots": $slots, "upstreams": [$list],
    "measure": {"probes_per_second": ${PROBES:-10}, "path": "/healthz", "timeout_ms": 500}}],
  "profiles": [{"name": "p",
    "rules": [{"methods": ["GET"], "path": "/tides/*", "treatment":
      {"idempotent": true, "deadline_ms": 10000, "wait_ms": 5000, "priority": "urgent", "hedge": true}}],
    "otherwise": {"idempotent": false, "deadline_ms": 10000, "wait_ms": 5000}}]
}
JSON
}

# start_platform HOSTS UPSTREAMS: starts the stand-in platform with a host list of the whole fleet.
start_platform() {
  local hosts=$1 upstreams=$2 list="" i
  for ((i = 0; i < hosts; i++)); do
    list+="${list:+,}{\"name\":\"e$i\",\"role\":\"entry\",\"address\":\"127.0.0.1:$((caller + i))\","
    list+="\"peer\":\"127.0.0.1:$((peer + i))\",\"admin\":\"127.0.0.1:$((admin + i))\","
    list+="\"data_centre\":\"dc$((i % 3))\",\"state\":\"live\"}"
  done
  for ((i = 0; i < upstreams; i++)); do
    list+=",{\"name\":\"u$i\",\"role\":\"upstream\",\"service\":\"s\",\"address\":\"127.0.0.1:$((upstream + i))\","
    list+="\"data_centre\":\"dc$((i % 3))\",\"state\":\"live\"}"
  done
  echo "{\"version\":1,\"hosts\":[$list]}" > "$dir/hosts.json"
  "$bin/examples/platform" --port "$platform" --hosts "$dir/hosts.json" & pids+=($!)
  "$bin/examples/upstreams" --port "$upstream" --count "$upstreams" --seconds 3600 & pids+=($!)
  until curl -sf -o /dev/null "http://127.0.0.1:$platform/hosts"; do sleep 0.05; done
}

# start_hosts HOSTS: starts entry hosts that learn everything from the platform.
start_hosts() {
  local hosts=$1 i
  for ((i = 0; i < hosts; i++)); do
    cat > "$dir/e$i.json" <<JSON
{
  "host": "e$i", "data_centre": "dc$((i % 3))", "fleet_size_max": $hosts,
  "caller": "127.0.0.1:$((caller + i))", "admin": "127.0.0.1:$((admin + i))",
  "peer": "127.0.0.1:$((peer + i))",
  "platform": {"key_value": ["127.0.0.1:$platform"], "host_list": "127.0.0.1:$platform"}
}
JSON
    RUST_LOG=error "$bin/cornelferryd" --settings "$dir/e$i.json" 2>> "$dir/log" & pids+=($!)
  done
  for ((i = 0; i < hosts; i++)); do
    until curl -sf -o /dev/null "http://127.0.0.1:$((admin + i))/readyz"; do sleep 0.05; done
  done
}

# start_fleet HOSTS UPSTREAMS SLOTS POLICY SECONDS [FAULT...]
start_fleet() {
  local hosts=$1 upstreams=$2 slots=$3 policy=$4 seconds=$5 i
  shift 5
  "$bin/examples/upstreams" --port "$upstream" --count "$upstreams" --slots "$slots" --seconds "$seconds" \
    "${@/#/--fault=}" & pids+=($!)
  for ((i = 0; i < hosts; i++)); do
    settings "$i" "$hosts" "$upstreams" "$slots" "$policy"
    RUST_LOG=error "$bin/cornelferryd" --settings "$dir/e$i.json" 2>> "$dir/log" & pids+=($!)
  done
  for ((i = 0; i < hosts; i++)); do
    until curl -sf -o /dev/null "http://127.0.0.1:$((admin + i))/readyz"; do sleep 0.05; done
  done
}
