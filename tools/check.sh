#!/usr/bin/env bash
# Everything that must hold before a change lands: lint, nothing unused, types, the build by deploy/service.toml's own line, tests.
set -euo pipefail
cd "$(dirname "$0")/.."
npx biome check src test
npx knip
# Tests are found by their built files: those of tests that were moved or renamed must not be left there.
rm -rf target/check
npx tsc -p tsconfig.test.json
sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/service.toml)"
node target/main.js --version
bash tools/old_versions.sh
bash tools/run_tests.sh
