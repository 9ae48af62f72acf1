#!/usr/bin/env bash
# Runs every check that a change must pass before it lands: lint, unused code, types, the build command of
# deploy/service.toml, and the tests.
set -euo pipefail
cd "$(dirname "$0")/.."
npx biome check src test
npx knip
# Tests are found by their built files, so files built from tests that have since moved or been renamed must be deleted.
rm -rf target/check
npx tsc -p tsconfig.test.json
sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/service.toml)"
node target/main.js --version
bash tools/old_versions.sh
bash tools/run_tests.sh
