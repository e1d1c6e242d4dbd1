#!/bin/sh
# Plays the days of the stores' disks on both small sites and prints one line a day.
# Usage: play-disks.sh BENCH SITES SEED... (the bench's program, the folder of the site files)
bench=$1; sites=$2; shift 2
for seed in "$@"; do
  for day in disk-full disk-full-power disk-stall disk-full-losses disk-slow-herd; do
    for site in dvcr-desk povratnik-mintlb; do
      file=rig/days/$day.toml
      [ "$site" = dvcr-desk ] || file=rig/days/$day-four-zones.toml
      out=$("$bench" run "$sites/$site.toml" "$file" --jobs 1 --seed "$seed" --why "days of the stores' disks" 2>&1)
      line=$(printf '%s\n' "$out" | grep -A1 '^day  ' | tail -1)
      printf '%s %s %s\n' "$site" "$seed" "$line"
    done
  done
done
