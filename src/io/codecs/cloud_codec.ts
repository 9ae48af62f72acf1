import type { CallFailure, CloudOperation, CloudResponse, Result } from '../../core/messages.js';
import type { CloudMachine, MachineId, MachineType, MachineTypeName, ZoneName } from '../../core/types.js';
import { amount, asFields, flag, list, oneOf, text } from './fields.js';
import type { HttpCall } from './http_call.js';

/** Calls to the cloud and its answers, by the names that they have on the wire. */
const MACHINE_PHASES: Readonly<Record<string, CloudMachine['phase']>> = {
  booting: 'booting',
  running: 'running',
  failed: 'failed',
};
const LIST_PAGE_SIZE = 500;
const NO_CAPACITY = 'no capacity';

export function encodeCloudCall(call: CloudOperation): HttpCall {
  switch (call.op) {
    case 'types':
      return { method: 'GET', path: '/catalog' };
    case 'list': {
      const after = call.after === null ? '' : `after=${encodeURIComponent(call.after)}&`;
      return { method: 'GET', path: `/hosts?${after}most=${LIST_PAGE_SIZE}` };
    }
    case 'rent':
      return {
        method: 'POST',
        path: '/hosts',
        body: {
          ask: call.idempotencyKey,
          breed: call.machineType,
          grove: call.zone,
          loaners: call.spot,
          count: call.count,
        },
      };
    case 'delete':
      return { method: 'POST', path: '/hosts/delete', body: { perches: call.machines } };
  }
}

function decodeType(raw: unknown): MachineType {
  const fields = asFields(raw, 'breed');
  return {
    name: text(fields, 'name') as MachineTypeName,
    cpus: amount(fields, 'cpus'),
    gpus: amount(fields, 'gpus'),
    memoryGb: amount(fields, 'mem_gb'),
    imageCacheGb: amount(fields, 'local_gb'),
    imagePullGbPerSecond: amount(fields, 'fetch_gb_per_s'),
    pricePerHour: amount(fields, 'rate'),
    spotPricePerHour: amount(fields, 'spot_price'),
    bootSeconds: amount(fields, 'startup_s'),
    zones: list(fields, 'groves') as ZoneName[],
  };
}

function decodeListedMachine(raw: unknown): CloudMachine {
  const fields = asFields(raw, 'perch');
  return {
    id: text(fields, 'ref') as MachineId,
    address: typeof fields.addr === 'string' ? fields.addr : '',
    type: text(fields, 'breed') as MachineTypeName,
    zone: text(fields, 'grove') as ZoneName,
    spot: flag(fields, 'loaners'),
    phase: oneOf(fields, 'mood', MACHINE_PHASES),
    ageSeconds: amount(fields, 'held_s'),
  };
}

/** Why a call with this status brought no result; null: it did. */
function failureOf(call: CloudOperation, status: number, body: unknown): CallFailure | null {
  switch (status) {
    case 200:
      return null;
    case 429:
      return 'refused';
    case 503: {
      const error = (body as { error?: unknown } | null)?.error;
      return call.op === 'rent' && error === NO_CAPACITY ? 'no_capacity' : 'refused';
    }
    case 400:
      return 'rejected';
    default:
      return 'unknown';
  }
}

export function decodeCloudAnswer(call: CloudOperation, status: number, body: unknown): Result<CloudResponse> {
  const failure = failureOf(call, status, body);
  if (failure) return { ok: false, why: failure };
  const fields = asFields(body, 'answer');
  switch (call.op) {
    case 'types':
      return { ok: true, value: { machineTypes: list(fields, 'breeds').map(decodeType) } };
    case 'list': {
      const machines = list(fields, 'perches').map(decodeListedMachine);
      return { ok: true, value: { machines, more: fields.has_next === true } };
    }
    case 'rent':
      return { ok: true, value: { provisioned: list(fields, 'perches') as MachineId[] } };
    case 'delete':
      return { ok: true, value: {} };
  }
}
