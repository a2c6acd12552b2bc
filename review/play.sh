# Sourced by the cases' run.sh: play PROGRAM MODE... plays a case from the repository's root with a
# temporary folder, writes record.txt beside run.sh, and ends what the case has started.
play() {
    local case program folder pid status
    case=$(cd "$(dirname "$0")" && pwd)
    cd "$case/../.." || exit 2
    program=target/review/$1
    shift
    if [ ! -x target/release/cornelferryd ] || [ ! -x "$program" ]; then
        echo "build the deploy file's program and run review/build.sh first" >&2
        exit 2
    fi
    folder=$(mktemp -d) || exit 2
    "$program" "$case/record.txt" "$folder" "$@" &
    pid=$!
    # The program ends its processes itself, unless it is killed.
    trap 'kill "$pid" 2>/dev/null; sleep 0.2; for p in $(pgrep -f -- "--settings $folder/"); do kill -9 "$p"; done; rm -rf "$folder"' EXIT
    trap 'exit 2' INT TERM
    wait "$pid"
    status=$?
    case $status in
        0 | 1) exit "$status" ;;
        *) exit 2 ;;
    esac
}
