import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { RuntimeEstimator } from '../../../src/core/jobs/runtime_estimator.js';
import { makeJobSpec } from '../../sim/job_options.js';

describe('RuntimeEstimator', () => {
  test('approaches the observed run times of a class, slowly while few tasks have been observed', () => {
    const estimates = new RuntimeEstimator();
    const spec = makeJobSpec('job-1', 'array', { estimatedRuntime: '10' });
    assert.equal(estimates.expectedSeconds(spec), 10);
    estimates.observe(spec, 40);
    const once = estimates.expectedSeconds(spec);
    assert.ok(once > 10 && once < 15);
    for (let i = 0; i < 100; i++) estimates.observe(spec, 40);
    assert.ok(Math.abs(estimates.expectedSeconds(spec) - 40) < 5);
  });
});
