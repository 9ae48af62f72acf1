import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { expectedSpotDelaySeconds, SpotInterruptionRate } from '../../../src/core/machines/spot_interruption_rate.js';

describe('SpotInterruptionRate', () => {
  test('estimates longer delays after interruptions, for long tasks and for tasks without checkpoints', () => {
    const interruptions = new SpotInterruptionRate();
    interruptions.observe(4, 60);
    const baselineRate = interruptions.perSecond;
    for (let i = 0; i < 3; i++) interruptions.recordInterruption();
    assert.ok(interruptions.perSecond > 5 * baselineRate);
    assert.ok(
      expectedSpotDelaySeconds(interruptions.perSecond, 100, 0) >
        expectedSpotDelaySeconds(interruptions.perSecond, 100, 10),
    );
    assert.ok(
      expectedSpotDelaySeconds(interruptions.perSecond, 100, 0) >
        4 * expectedSpotDelaySeconds(interruptions.perSecond, 30, 0),
    );
    for (let i = 0; i < 100; i++) interruptions.observe(4, 10);
    assert.ok(interruptions.perSecond < 2 * baselineRate);
  });
});
