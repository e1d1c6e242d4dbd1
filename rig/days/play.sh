#!/usr/bin/env bash
# Plays days of our own and prints one line a day: the bench's line of the day, and each broken rule.
#   rig/days/play.sh BENCH SITE... [-- DAY...]     without days, all of this folder; JOBS days at a time (1)
set -u
cd "$(dirname "$0")/../.." || exit 2
bench=${1:?usage: play.sh BENCH SITE... [-- DAY...]}
shift
sites=()
while [ $# -gt 0 ] && [ "$1" != -- ]; do sites+=("$1"); shift; done
[ "${1:-}" = -- ] && shift
days=("$@")
[ ${#days[@]} -gt 0 ] || days=(rig/days/*.toml)
logs=$(mktemp -d)
trap 'rm -r "$logs"' EXIT
failed=0
play() {
  local site=$1 day=$2 log=$3
  "$bench" run "$site" "$day" --jobs 1 --why "day of our own: $(basename "$day")" >"$log" 2>&1
}
for site in "${sites[@]}"; do
  for day in "${days[@]}"; do
    while [ "$(jobs -rp | wc -l)" -ge "${JOBS:-1}" ]; do wait -n; done
    play "$site" "$day" "$logs/$(basename "$site" .toml)--$(basename "$day" .toml)" &
  done
done
wait
for log in "$logs"/*; do
  name=$(basename "$log")
  line=$(grep -A1 '^day  ' "$log" | tail -1)
  verdict="no rule broken"
  case $line in
    '') case $(tail -1 "$log") in
          # Its own traffic or bursts name zones or kinds of requests of another site.
          *'no zone'* | *'no class'*) verdict="for another site" ;;
          *) verdict="not played: $(tail -1 "$log")" failed=1 ;;
        esac ;;
    *BROKEN*) verdict="a rule is broken" failed=1 ;;
  esac
  printf '%s | %s | %s\n' "$name" "$line" "$verdict"
done
exit $failed
