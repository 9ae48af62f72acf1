import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { MachineRegistry } from '../../../src/core/machines/machine_registry.js';
import { encodePage, type MachineRecord, storedBytes } from '../../../src/core/records.js';
import type { ImageName, MonotonicTime } from '../../../src/core/types.js';
import { revision } from '../../../src/core/types.js';
import { makeJobSpec } from '../../sim/job_options.js';
import { makeMachine } from '../../support/machine_fixtures.js';

describe('MachineRegistry', () => {
  test('never overwrites a page that it can decode only in part, and adds its machines to no other page', () => {
    const registry = new MachineRegistry(8192);
    const known = { id: 'i-1', address: 'i-1', type: 'c8', zone: 'a', spot: false, images: [], imagePullSpeed: 1 };
    const value = encodePage([known as unknown as MachineRecord], 0) as { machines: unknown[] };
    const partlyReadable = {
      key: 'm/0',
      value: { ...value, machines: [...value.machines, { later: 1 }] },
      version: revision(7),
    };
    const page = registry.load(partlyReadable);
    assert.equal(page.complete, false);
    assert.deepEqual(
      page.machines.map(({ id }) => id),
      ['i-1'],
    );
    const restored = makeMachine('i-1', 'i-1', 'up', 0 as MonotonicTime, false);
    registry.restore(restored, 'm/0');
    assert.equal(restored.lifecycle.isRegistered, true);
    registry.add(restored);
    registry.add(makeMachine('i-2', 'i-2', 'up', 0 as MonotonicTime, false));
    const due = registry.duePages(0 as MonotonicTime, true);
    assert.deepEqual(
      due.map(({ index }) => index),
      [1],
    );
    registry.remove(restored.id);
    assert.equal(registry.duePages(0 as MonotonicTime, true).length, 1);
  });

  test('keeps pages within the limit in bytes, also if machines have images with names outside ASCII', () => {
    const maxBytes = 2048;
    const registry = new MachineRegistry(maxBytes);
    const now = 0 as MonotonicTime;
    for (let i = 0; i < 12; i++) {
      const machine = makeMachine(`i-${i}`, `10.0.0.${i}:9000`, 'up', now, false);
      const image = `${'زيتون'.repeat(8)}-${i}` as ImageName;
      machine.images.onPresent({ ...makeJobSpec('job-1', 'array', {}), image }, now);
      registry.add(machine);
    }
    const pages = registry.duePages(now, true);
    assert.ok(pages.length > 0);
    for (const page of pages) {
      const { change, bytes } = registry.beginWrite(page, now);
      assert.equal(bytes, storedBytes('put' in change ? change.value : null));
      assert.ok(bytes <= maxBytes, `${bytes} bytes`);
    }
  });
});
