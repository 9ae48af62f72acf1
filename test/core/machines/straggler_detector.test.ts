import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { StragglerDetector, type StragglerEvidence } from '../../../src/core/machines/straggler_detector.js';
import type { JobId } from '../../../src/core/types.js';

describe('StragglerDetector', () => {
  test('takes several jobs, weighed by their uncertainty, to tell a straggler from a wrong estimate', () => {
    const job = (n: number): JobId => `job-${n}` as JobId;
    const none = new Map<JobId, StragglerEvidence>();
    const sure = new StragglerDetector();
    sure.record(job(1), { logRatio: Math.log(4), logStandardDeviation: 0.2 });
    assert.ok(!sure.isStraggler(none));
    sure.record(job(2), { logRatio: Math.log(4), logStandardDeviation: 0.2 });
    assert.ok(sure.isStraggler(none));
    const unsure = new StragglerDetector();
    for (let i = 0; i < 2; i++) unsure.record(job(i), { logRatio: Math.log(4), logStandardDeviation: 0.8 });
    assert.ok(!unsure.isStraggler(none));
    for (let i = 0; i < 6; i++) unsure.record(job(i), { logRatio: Math.log(4), logStandardDeviation: 0.8 });
    assert.ok(unsure.isStraggler(none));
    const usual = new StragglerDetector();
    for (let i = 0; i < 50; i++)
      usual.record(job(i), { logRatio: i % 2 === 0 ? 0.3 : -0.3, logStandardDeviation: 0.2 });
    assert.ok(!usual.isStraggler(new Map([[job(99), { logRatio: Math.log(3), logStandardDeviation: 0.5 }]])));
  });
});
