import assert from 'node:assert/strict';
import { relative } from 'node:path';
import { fileURLToPath } from 'node:url';
import fc from 'fast-check';

/* Runs property tests with a fixed seed. */

const SEED = Number(process.env.FC_SEED ?? 28);
const RUNS = Number(process.env.FC_RUNS ?? 0);

/**
 * Checks a property with `runs` generated values and a fixed seed. The environment variables FC_SEED and FC_RUNS
 * replace the seed and the number of values, and FC_PATH selects a single value. The message of a failure ends with the
 * command that replays it. `testFile` is the `import.meta.url` of the test.
 */
export function checkProperty<T>(testFile: string, property: fc.IProperty<T>, runs: number): void {
  const path = process.env.FC_PATH ? { path: process.env.FC_PATH } : {};
  const { failed, seed, counterexamplePath, counterexample, errorInstance } = fc.check(property, {
    seed: SEED,
    numRuns: RUNS || runs,
    ...path,
  });
  if (!failed) return;
  const replay = `FC_SEED=${seed} FC_PATH=${counterexamplePath} node --test ${relative('.', fileURLToPath(testFile))}`;
  assert.fail(`${fc.stringify(counterexample)}\n${String(errorInstance)}\nreplay: ${replay}`);
}
