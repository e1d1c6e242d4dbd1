#!/usr/bin/env bash
# Plays days with one mechanism of the decisions off at a time, on a scratch copy of HEAD, and prints a table of worth.
#   rig/ablation/play.sh BENCH SCRATCH VARIANT... -- SITE:DAY:SEED...
# VARIANT is a name in variants.txt, or as-is. SCRATCH is a folder that is made, or used again with what it has built.
# Trials: the copy is built without link-time optimisation. Its journal entries stay in SCRATCH/journal.
set -euo pipefail
cd "$(dirname "$0")/../.."
here=$PWD
bench=$(realpath "${1:?usage: play.sh BENCH SCRATCH VARIANT... -- SITE:DAY:SEED...}")
scratch=$2
shift 2
variants=()
while [ $# -gt 0 ] && [ "$1" != -- ]; do variants+=("$1"); shift; done
shift
[ -d "$scratch/.git" ] || git clone -q . "$scratch"
scratch=$(realpath "$scratch")
days=()
for day in "$@"; do days+=("$(realpath "${day%%:*}"):${day#*:}"); done
cd "$scratch"
git fetch -q "$here" HEAD
git checkout -q -f FETCH_HEAD
export CARGO_PROFILE_RELEASE_LTO=false CARGO_PROFILE_RELEASE_CODEGEN_UNITS=16
for variant in "${variants[@]}"; do
  git checkout -q -f HEAD -- crates Cargo.toml
  sed -i 's/^lto = true/lto = false/; s/^codegen-units = 1/codegen-units = 16/' Cargo.toml
  if [ "$variant" != as-is ]; then
    line=$(grep "^$variant |" "$here/rig/ablation/variants.txt")
    file=$(cut -d'|' -f2 <<<"$line" | xargs)
    edit=$(cut -d'|' -f3- <<<"$line" | sed 's/^ *//')
    sed -i "$edit" "$file"
    git diff --quiet -- "$file" && { echo "$variant changes nothing" >&2; exit 1; }
  fi
  cargo build -q --release --locked -p mintlb -p mintlb-control
  for day in "${days[@]}"; do
    IFS=: read -r site name seed <<<"$day"
    log=$(mktemp)
    ("$bench" run "$site" "$name" --seed "$seed" --jobs 1 --why "ablation (scratch copy): $variant" >"$log" 2>&1 || true
      worth=$(grep -m1 '^worth' "$log" | awk '{print $2}')
      line=$(grep -A1 '^day  ' "$log" | tail -1)
      printf '%s | %s | %s | %s | %s | %s\n' "$variant" "$(basename "$site" .toml)" "$name" "$seed" "${worth:-not played}" "$line"
      rm "$log") &
  done
  wait
done
