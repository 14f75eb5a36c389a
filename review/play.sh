#!/usr/bin/env bash
# Plays a case with a script: review/play.sh CASE FOLDER, where FOLDER takes record.txt.
#
# Exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
set -u
record=$(cd "$2" && pwd)/record.txt
cd "$(dirname "$0")/.." || exit 2
daemon=target/release/pistachiochuted
standin=target/review/standin
[ -x "$daemon" ] && [ -x "$standin" ] || { echo "build first: deploy file, review/build.sh" >&2; exit 2; }
folder=$(mktemp -d) || exit 2

# Ends the hosts that the stand-in may have left, by their ids.
clean_up() {
  while read -r pid; do
    if tr '\0' ' ' 2>/dev/null < "/proc/$pid/cmdline" | grep -qF "$folder"; then
      kill -KILL "$pid"
    fi
  done < <(cat "$folder/pids" 2>/dev/null)
  rm -rf "$folder"
}
trap clean_up EXIT

timeout -k 2 115 "$standin" "$1" "$daemon" "$folder" "$record"
case $? in
  0) exit 0 ;;
  1) exit 1 ;;
  *) exit 2 ;;
esac
