/** Records the state store calls of an election for the golden files. */
import { Controller } from '../../src/core/controller.js';
import type { Input, StateStoreOperation, StateStoreResult } from '../../src/core/messages.js';
import { LEADER_KEY, TERM_KEY } from '../../src/core/records.js';
import {
  type ClockReading,
  type ControllerName,
  type LeaseId,
  type MonotonicTime,
  revision,
  type WallClockTime,
} from '../../src/core/types.js';
import { encodeStateStoreRequest } from '../../src/io/state_store/state_store_codec.js';
import { encodeCbor } from '../../src/io/wire/cbor.js';
import { CURRENT_BUILD } from '../sim/build.js';
import { makeSettings } from '../sim/deployment.js';
import { cborWithText, type GoldenValue } from './golden_file.js';

interface EncodedCall {
  readonly path: string;
  readonly body: GoldenValue;
}

/** Simulated time within which the controller is elected, and the time between its steps, in milliseconds. */
const ELECTION_MS = 2000;
const STEP_MS = 20;

/** Returns the response of a state store without a leader record to a call of a candidate. */
function respond(op: StateStoreOperation, term: unknown): StateStoreResult {
  const at = revision(700);
  switch (op.op) {
    case 'get':
      if (op.key === TERM_KEY && term !== null) {
        return { ok: true, value: { item: { key: TERM_KEY, value: term, version: revision(55) }, revision: at } };
      }
      return { ok: true, value: { item: null, revision: at } };
    case 'grant':
      return { ok: true, value: { lease: ((1n << 53n) + 9n) as LeaseId } };
    case 'compareAndSwap':
      return { ok: true, value: { revision: revision(701) } };
    case 'list':
      return { ok: true, value: { items: [], more: false, revision: at } };
    default:
      return { ok: false, error: { code: 'unavailable' } };
  }
}

const isElection = (op: StateStoreOperation): boolean =>
  op.op === 'grant' ||
  (op.op === 'get' && [LEADER_KEY, TERM_KEY].includes(op.key)) ||
  (op.op === 'compareAndSwap' && op.changes.some((change) => 'put' in change && change.put === LEADER_KEY));

/** Returns the encoded calls with which a controller becomes the leader if the stored term record is `term`. */
export function electionCalls(term: unknown, recordsZones: boolean): readonly EncodedCall[] {
  const controller = makeController(recordsZones);
  const calls: EncodedCall[] = [];
  let inputs: Input[] = [{ kind: 'start' }];
  for (let ms = 0; ms < ELECTION_MS; ms += STEP_MS) {
    const outputs = [...inputs, { kind: 'timer' } as const].flatMap((input) => controller.step(clockAt(ms), input));
    const sent = outputs.filter((output) => output.kind === 'stateStoreCall');
    for (const { operation } of sent) if (isElection(operation)) calls.push(encodeCall(operation));
    inputs = sent.map(({ callId, operation }) => ({
      kind: 'stateStoreReply',
      callId,
      result: respond(operation, term),
    }));
  }
  return calls;
}

const clockAt = (ms: number): ClockReading => ({
  monotonic: ms as MonotonicTime,
  wallClock: (1_790_000_000_000 + ms) as WallClockTime,
});

function makeController(recordsZones: boolean): Controller {
  const settings = makeSettings(
    'perch-1' as ControllerName,
    ['perch-1', 'perch-2'] as ControllerName[],
    SETTINGS_OPTIONS,
    CURRENT_BUILD,
  );
  const features = {
    recovery: { ...CURRENT_BUILD.features.recovery, enabled: recordsZones, record_zones: recordsZones },
  };
  return new Controller(settings, CURRENT_BUILD.tuning, '0f3a', 1, clockAt(0), features);
}

function encodeCall(op: StateStoreOperation): EncodedCall {
  const { method, path, body } = encodeStateStoreRequest(op);
  return { path: `${method} ${path}`, body: body ? cborWithText(encodeCbor(body)) : null };
}

const SETTINGS_OPTIONS = {
  seed: 1,
  controllers: 2,
  zones: ['a' as never],
  teams: [],
  types: [],
  capacity: 0,
  tuning: CURRENT_BUILD.tuning,
};
