#!/usr/bin/env bash
# Plays the project's own days on a site of the users' bench:
# scripts/days.sh BENCH SITE WHY. Four at a time; prints the broken rules.
set -euo pipefail
bench=$1 site=$2 why=$3
out=$(mktemp -d)
"$bench" build >/dev/null
ls deploy/days/*.toml | xargs -P 4 -I{} sh -c \
	'"$1" run "$2" "$3" --jobs 1 --why "$4" >"$5/$(basename "$3" .toml)" 2>&1 || true' _ "$bench" "$site" {} "$why" "$out"
for f in "$out"/*; do
	sed -n '/^day /,/^worth/p' "$f" | grep -v '^day \|^worth\|^$' || { echo "$(basename "$f"): did not play"; tail -3 "$f"; }
done
rm -r "$out"
