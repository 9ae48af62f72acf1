import assert from 'node:assert/strict';
import { relative } from 'node:path';
import { fileURLToPath } from 'node:url';
import fc from 'fast-check';

/* Property tests with fixed seeds. */

const SEED = Number(process.env.FC_SEED ?? 28);
const RUNS = Number(process.env.FC_RUNS ?? 0);

/**
 * Checks a property with so many runs of the fixed seed; FC_SEED, FC_PATH and FC_RUNS choose others. A failure prints the line
 * with which it is played again; `testFile`: the `import.meta.url` of the test.
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
