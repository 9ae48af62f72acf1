#!/usr/bin/env bash
# Builds each version listed in test/old_versions.txt from the git history into target/old_versions/COMMIT, for the
# tests that run it together with the current version. An existing build is reused.
set -euo pipefail
cd "$(dirname "$0")/.."
production=$(sed -n 's/^production = "\(.*\)"$/\1/p' deploy/service.toml)
grep -v '^#' test/old_versions.txt | while read -r name commit _; do
  [ "$name" = production ] && commit=$production
  out=target/old_versions/$commit
  [ -e "$out/built" ] && continue
  if ! git cat-file -e "$commit^{commit}" 2>/dev/null; then
    echo "version $name ($commit) is not in this history: the tests that run it will fail" >&2
    continue
  fi
  rm -rf "$out"
  mkdir -p "$out/checkout"
  git archive "$commit" src deploy package.json tsconfig.json | tar -x -C "$out/checkout"
  npx tsc -p "$out/checkout/tsconfig.json" --outDir "$out/build"
  touch "$out/built"
done
