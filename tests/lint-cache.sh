#!/usr/bin/env bash
# Guards against a linter cache that hides a finding: a clean verdict is kept, then a header changes.
set -eu
ROOT=$(cd "$(dirname "$0")/.." && pwd)
FOLDER=$(mktemp -d)
trap 'rm -rf "$FOLDER"' EXIT
export LINT_CACHE=$FOLDER/cache
mkdir -p "$FOLDER/tree/scripts" "$FOLDER/tree/src" "$FOLDER/tree/build"
cd "$FOLDER/tree"
cp "$ROOT/scripts/lint" scripts/
cp "$ROOT/.clang-tidy" .
git init -q
CLEAN='#pragma once
inline int answer()
{
    return 42;
}'
printf '%s\n' "$CLEAN" >src/Answer.h
printf '#include "Answer.h"\nint main()\n{\n    return answer();\n}\n' >src/main.cpp
printf '[{"directory":"%s","command":"g++ -std=c++20 -I%s/src -o build/main.o -c src/main.cpp","file":"src/main.cpp"}]\n' "$PWD" "$PWD" \
  >build/compile_commands.json
expect() {
  local verdict=passed
  scripts/lint build >lint.log 2>&1 || verdict=failed
  [ "$verdict" = "$1" ] || { echo "$2: the linter $verdict"; cat lint.log; exit 1; }
}
expect passed 'clean header, empty cache'
[ "$(ls "$LINT_CACHE" | wc -l)" = 1 ] || { echo 'the clean verdict was not kept'; exit 1; }
expect passed 'clean header, warm cache'
sed -i 's/answer()/Answer()/' src/Answer.h src/main.cpp
expect failed 'finding in the header, warm cache'
expect failed 'finding in the header, again'
printf '%s\n' "$CLEAN" >src/Answer.h
sed -i 's/Answer()/answer()/' src/main.cpp
expect passed 'finding taken back'
printf '\377' | tee "$LINT_CACHE"/* >/dev/null
expect passed 'unreadable verdict'
scripts/lint --empty-cache build
[ "$(ls "$LINT_CACHE" | wc -l)" = 1 ] || { echo 'the cache was not emptied'; exit 1; }
echo 'lint cache: all checks passed'
