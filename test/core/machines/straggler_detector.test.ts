import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { StragglerDetector, type StragglerEvidence } from '../../../src/core/machines/straggler_detector.js';
import type { JobId } from '../../../src/core/types.js';

describe('StragglerDetector', () => {
  test('requires several jobs, weighted by their uncertainty, to distinguish a straggler from a wrong estimate', () => {
    const job = (n: number): JobId => `job-${n}` as JobId;
    const noRunningTasks = new Map<JobId, StragglerEvidence>();
    const certain = new StragglerDetector();
    certain.record(job(1), { logRatio: Math.log(4), logStandardDeviation: 0.2 });
    assert.ok(!certain.isStraggler(noRunningTasks));
    certain.record(job(2), { logRatio: Math.log(4), logStandardDeviation: 0.2 });
    assert.ok(certain.isStraggler(noRunningTasks));
    const uncertain = new StragglerDetector();
    for (let i = 0; i < 2; i++) uncertain.record(job(i), { logRatio: Math.log(4), logStandardDeviation: 0.8 });
    assert.ok(!uncertain.isStraggler(noRunningTasks));
    for (let i = 0; i < 6; i++) uncertain.record(job(i), { logRatio: Math.log(4), logStandardDeviation: 0.8 });
    assert.ok(uncertain.isStraggler(noRunningTasks));
    const ordinary = new StragglerDetector();
    for (let i = 0; i < 50; i++)
      ordinary.record(job(i), { logRatio: i % 2 === 0 ? 0.3 : -0.3, logStandardDeviation: 0.2 });
    assert.ok(!ordinary.isStraggler(new Map([[job(99), { logRatio: Math.log(3), logStandardDeviation: 0.5 }]])));
  });
});
