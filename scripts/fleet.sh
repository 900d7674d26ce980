# Starts and stops the processes of an example fleet on loopback. Sourced by ./demo and
# scripts/measure-path.

# Root of the checkout, binaries and run directory; the caller sets `example` first.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin=${BW_BIN:-$root/target/release}
run=$root/run/$example
platform_port=$((16443 + ${port_base:-0}))
platform=http://127.0.0.1:$platform_port
declare -A pids=()

# install_tools: what the build needs and a fresh machine may lack.
install_tools() {
    command -v cmake >/dev/null && return
    echo "installing cmake, which the build of nng needs"
    apt-get update -qq && apt-get install -y -qq cmake >/dev/null
}

# value FILE SECTION KEY: the value of a key in an INI file.
value() {
    awk -v want="[$2]" -v key="$3" '
        /^\[/ { inside = ($0 == want) }
        inside && $1 == key && $2 == "=" { sub(/^[^=]*= */, ""); print; exit }' "$1"
}

# sections FILE KIND: names of the sections of a kind.
sections() {
    sed -n "s/^\[$2 \(.*\)\]$/\1/p" "$1"
}

# launch NAME COMMAND...: starts a process in the background with its log in the run directory.
launch() {
    local name=$1
    shift
    "$@" >>"$run/$name.log" 2>&1 &
    pids[$name]=$!
}

# stop NAME: asks a process to stop gracefully and waits for it.
stop() {
    kill -TERM "${pids[$1]}" 2>/dev/null || true
    wait "${pids[$1]}" 2>/dev/null || true
    unset "pids[$1]"
}

stop_all() {
    local name
    for name in "${!pids[@]}"; do
        kill -TERM "${pids[$name]}" 2>/dev/null || true
    done
    sleep 0.3
    for name in "${!pids[@]}"; do
        kill -KILL "${pids[$name]}" 2>/dev/null || true
    done
    wait 2>/dev/null || true
}

# wait_for URL: waits until an address answers with success.
wait_for() {
    local try
    for try in $(seq 1 200); do
        curl -sf -o /dev/null --max-time 1 "$1" && return 0
        sleep 0.05
    done
    echo "nothing answers at $1" >&2
    return 1
}

start_fake() {
    cat >"$run/fake.ini" <<EOF
[fake]
listen = 127.0.0.1:$platform_port
fleet = $inventory, $rules
step-ms = 6
service-ms = ${service_ms:-20}
EOF
    launch fake "$bin/bw-fake" "$run/fake.ini"
    wait_for "$platform/healthz"
}

start_entry() {
    local name=$1
    cat >"$run/$name.ini" <<EOF
[entry]
instance = $name
data-centre = $(value "$inventory" "entry $name" data-centre)
http = $(value "$inventory" "entry $name" http)
link = $(value "$inventory" "entry $name" link)
platform = $platform
digest-ms = ${digest_ms:-500}
EOF
    launch "$name" "$bin/bw-entry" "$run/$name.ini"
}

# start_agent NAME INDEX
start_agent() {
    local name=$1
    cat >"$run/$name.ini" <<EOF
[agent]
instance = $name
link = $(value "$inventory" "instance $name" link)
http = 127.0.0.1:$((20401 + ${port_base:-0} + $2))
entries = $(value "$inventory" "entry entry-1" link), $(value "$inventory" "entry entry-2" link)
platform = $platform
EOF
    launch "$name" "$bin/bw-agent" "$run/$name.ini"
}

# start_fleet: the stand-ins, the accepted configuration, and all entries and agents.
start_fleet() {
    inventory=$root/examples/$example/inventory.ini
    rules=$root/examples/$example/rules.ini
    rm -rf "$run"
    mkdir -p "$run"
    start_fake
    "$bin/bwctl" apply --platform "$platform" "$inventory" "$rules"
    local name index=0
    for name in $(sections "$inventory" entry); do
        start_entry "$name"
    done
    for name in $(sections "$inventory" instance); do
        start_agent "$name" $index
        index=$((index + 1))
    done
    for name in $(sections "$inventory" entry); do
        wait_for "http://$(value "$inventory" "entry $name" http)/healthz"
    done
    for index in $(seq 0 $((index - 1))); do
        wait_for "http://127.0.0.1:$((20401 + ${port_base:-0} + index))/healthz"
    done
}
