#!/usr/bin/env bash
# Builds the version in production (deploy/service.toml) from the history into target/production, for the tests that run
# both versions side by side.
set -euo pipefail
cd "$(dirname "$0")/.."
commit=$(sed -n 's/^production = "\(.*\)"$/\1/p' deploy/service.toml)
out=target/production
[ -e "$out/$commit" ] && exit 0
if ! git cat-file -e "$commit^{commit}" 2>/dev/null; then
  echo "the production commit $commit is not in this history: the tests of both versions will fail" >&2
  exit 0
fi
rm -rf "$out" target/production-src
mkdir -p "$out" target/production-src
git archive "$commit" src package.json tsconfig.json | tar -x -C target/production-src
npx tsc -p target/production-src/tsconfig.json --outDir "$out"
touch "$out/$commit"
