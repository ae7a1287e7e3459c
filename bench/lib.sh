# Functions for the measurements, which run separate processes of the release build on
# loopback.
set -euo pipefail
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
bin="$root/target/release/larkspring"
dir=$(mktemp -d)
pids=()
threads=${THREADS:-1}
trap 'kill -9 "${pids[@]}" 2>/dev/null || true; rm -rf "$dir"' EXIT

(cd "$root" && cargo build --release --quiet)

# start NAME ARGS...: starts a process of the program, and sets $addr and $pid.
start() {
    local name=$1
    shift
    rm -f "$dir/$name.out"
    "$bin" "$@" >"$dir/$name.out" 2>"$dir/$name.log" &
    pid=$!
    disown "$pid"
    pids+=("$pid")
    until [ -s "$dir/$name.out" ]; do pause 0.02; done
    addr=$(head -1 "$dir/$name.out")
}

# entry N [EXTRA]: starts an entry, with the lines EXTRA added to its settings.
entry() {
    printf 'hall: h\nvm: vm-%s\nthreads: %s\nplatform:\n  objects: %s\ntelemetry:\n  level: warn\nentry:\n  listen: 127.0.0.1:0\n%b' \
        "$1" "$threads" "$objects" "${2-}" >"$dir/entry-$1.yaml"
    start "entry-$1" entry --settings "$dir/entry-$1.yaml"
}

# agent NAME BACKEND [EXTRA]: starts an agent, with the lines EXTRA added to its settings.
agent() {
    printf 'hall: h\nvm: vm-%s\nthreads: %s\nplatform:\n  objects: %s\ntelemetry:\n  level: warn\nagent:\n  listen: 127.0.0.1:0\n  endpoint: %s\n  backend: %s\n%b' \
        "$1" "$threads" "$objects" "$1" "$2" "${3-}" >"$dir/agent-$1.yaml"
    start "agent-$1" agent --settings "$dir/agent-$1.yaml"
}

# declare_state ADAPTERS [ENDPOINT AGENT]...: applies a declared state with ADAPTERS
# adapters and the given endpoints.
declare_state() {
    local count=$1
    shift
    mkdir -p "$dir/declared"
    {
        echo "adapters:"
        seq -f '%04.0f' 0 $((count - 1)) | awk '{
            print "- name: tenant-" $1 "\n  base: base\n  default_version: v1\n  versions:"
            print "  - name: v1\n    weights: tenant-" $1 "/v1"
        }'
        printf 'callers:\n- name: dev\n  key_sha256: %s\n' \
            "$(printf dev-key | sha256sum | cut -d' ' -f1)"
        echo "endpoints:"
        while [ $# -gt 0 ]; do
            printf -- '- name: %s\n  hall: h\n  vm: v\n  agent: %s\n  base: base\n' "$1" "$2"
            shift 2
        done
    } >"$dir/declared/all.yaml"
    "$bin" apply "$dir/declared" --objects "$objects" >/dev/null
}

pause() { read -rt "$1" <> <(:) || true; }
revision() { curl -s "http://$1/health" | sed 's/.*"revision":\([0-9]*\).*/\1/'; }
wait_revision() { until [ "$(revision "$1")" -ge "$2" ]; do :; done; }
kb() { awk -v k="$2:" '$1 == k { print $2 }' "/proc/$1/status"; }
cpu_ms() { awk '{ print ($14 + $15) * 10 }' "/proc/$1/stat"; }
fit() { # reads "x y" lines; prints the intercept, the slope and the largest residual
    awk '{ x[NR]=$1; y[NR]=$2; sx+=$1; sy+=$2; sxx+=$1*$1; sxy+=$1*$2 }
        END { b=(NR*sxy-sx*sy)/(NR*sxx-sx*sx); a=(sy-b*sx)/NR
            for (i=1;i<=NR;i++) { r=y[i]-a-b*x[i]; if (r<0) r=-r; if (r>m) m=r }
            printf "fit: %.5g + %.5g x, largest residual %.3g\n", a, b, m }'
}
