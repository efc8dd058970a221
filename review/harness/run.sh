# Runs a case of the harness, and ends what it has started, also if the script
# is ended.
run_case() {
    REVIEW_TMP=$(mktemp -d) || exit 2
    export REVIEW_TMP
    target/review/harness "$1" "$2" &
    harness=$!
    trap 'kill "$harness" 2>/dev/null; end_processes; exit 2' TERM INT HUP
    wait "$harness"
    result=$?
    end_processes
    [ "$result" -le 1 ] || result=2
    exit "$result"
}

end_processes() {
    [ ! -f "$REVIEW_TMP/pids" ] || while read -r pid; do
        if grep -q "$REVIEW_TMP" "/proc/$pid/cmdline" 2>/dev/null; then
            kill -KILL "$pid" 2>/dev/null
        fi
    done < "$REVIEW_TMP/pids"
    rm -rf "$REVIEW_TMP"
}
