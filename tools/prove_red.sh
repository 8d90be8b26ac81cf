#!/usr/bin/env bash
# Mutation test: removes one guard at a time from a scratch copy, builds the tests there and expects
# the test named for the guard to fail. Exits with 1 if a test still passes, a pattern is not found
# or a build fails.
#   tools/prove_red.sh [NAME...]
# The guards are listed in tools/guards.txt: NAME | FILE | PATTERN (perl) | REPLACEMENT | TEST
set -uo pipefail
cd "$(dirname "$0")/.."
root=$PWD
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
cp -r CMakeLists.txt include src platform tests bench tools "$scratch/"
sed -i "s/ -Werror//" "$scratch/CMakeLists.txt"
cmake -S "$scratch" -B "$scratch/build" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
wrong=0
while IFS=$'\t' read -r name file pattern replacement test; do
  name=$(echo "$name" | xargs)
  file=$(echo "$file" | xargs)
  test=$(echo "$test" | xargs)
  [ -n "$name" ] && [ "${name#\#}" = "$name" ] || continue
  if [ $# -gt 0 ] && ! printf '%s\n' "$@" | grep -qx "$name"; then continue; fi
  cp "$root/$file" "$scratch/$file"
  pattern=${pattern# } pattern=${pattern% } replacement=${replacement# } replacement=${replacement% }
  PATTERN=$pattern REPLACEMENT=$replacement perl -0pi -e '$p = quotemeta($ENV{PATTERN}); $p =~ s/\\\\n/\\n/g; s/$p/$ENV{REPLACEMENT}/' "$scratch/$file"
  if cmp -s "$root/$file" "$scratch/$file"; then
    echo "$name | pattern not found in $file"
    wrong=1
    continue
  fi
  if ! ninja -C "$scratch/build" unit_tests >"$scratch/build.log" 2>&1; then
    echo "$name | build failed"
    wrong=1
  elif (cd "$scratch" && EELGRASSRAIL_SEEDS=${EELGRASSRAIL_SEEDS:-400} timeout 600 build/unit_tests "$test" >"$scratch/run.log" 2>&1); then
    echo "$name | $test | STILL PASSES without the guard"
    wrong=1
  else
    echo "$name | $test | fails as expected: $(grep -aoE 'seed [0-9]+|VIOLATION.*|assertion failed.*' "$scratch/run.log" | tail -1)"
  fi
  cp "$root/$file" "$scratch/$file"
done < <(perl -pe 's/\\\|/\x01/g; s/\s*\|\s*/\t/g unless /^#/; s/\x01/|/g' tools/guards.txt)
exit $wrong
