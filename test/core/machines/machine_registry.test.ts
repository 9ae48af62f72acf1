import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { MachineRegistry } from '../../../src/core/machines/machine_registry.js';
import { encodePage, type MachineRecord } from '../../../src/core/records.js';
import type { MonotonicTime } from '../../../src/core/types.js';
import { revision } from '../../../src/core/types.js';
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
});
