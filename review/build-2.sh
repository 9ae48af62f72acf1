#!/bin/sh
# Prepares the stand-ins of cases 4 to 8. They are plain JavaScript, so this only checks that they can be loaded, and
# that the program and the packages they use are there after the build line of deploy/service.toml.
cd "$(dirname "$0")/.." || exit 2
[ -f target/main.js ] || { echo "run the build line of deploy/service.toml first" >&2; exit 2; }
[ -d node_modules/cbor-x ] || { echo "node_modules is missing: run npm ci" >&2; exit 2; }
for file in review/lib-2/*.mjs review/[4-8]/case.mjs; do
  [ -f "$file" ] || continue
  node --check "$file" || exit 2
done
exec node --input-type=module -e "await import('./review/lib-2/site.mjs');"
