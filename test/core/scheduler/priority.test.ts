import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { rankingScore } from '../../../src/core/scheduler/priority.js';
import { makeJobSpec } from '../../sim/job_options.js';

describe('ranking score', () => {
  test('ranks a job one priority level higher before a job a third of its size, once both have waited', () => {
    const low = makeJobSpec('job-1', 'array', { cpus: '1', estimatedRuntime: '10', priorityLevel: '0' });
    const high = makeJobSpec('job-2', 'array', { cpus: '3', estimatedRuntime: '10', priorityLevel: '1' });
    assert.ok(rankingScore(high, 1, 10, 100, 4) < rankingScore(low, 1, 10, 100, 4));
    assert.ok(rankingScore(high, 1, 10, 0, 4) > rankingScore(low, 1, 10, 0, 4));
  });

  test('ranks small and short jobs first, until a larger job has waited long enough', () => {
    const small = makeJobSpec('job-1', 'array', { cpus: '1', estimatedRuntime: '10' });
    const large = makeJobSpec('job-2', 'gang', { gpus: '4', estimatedRuntime: '100' });
    assert.ok(rankingScore(small, 1, 10, 0, 2) < rankingScore(large, 2, 100, 0, 2));
    assert.ok(rankingScore(small, 1, 10, 0, 2) > rankingScore(large, 2, 100, 600, 2));
  });
});
