import type { CloudOp, CloudValue, Failure, Result } from '../../core/messages.js';
import type { ListedMachine, MachineId, MachineType, TypeName, ZoneName } from '../../core/types.js';
import { amount, asFields, flag, list, oneOf, text } from './fields.js';
import type { HttpCall } from './http_call.js';

/** Calls to the cloud and its answers, by the names that they have on the wire. */
const MACHINE_PHASES: Readonly<Record<string, ListedMachine['phase']>> = {
  booting: 'booting',
  running: 'running',
  failed: 'failed',
};
const LIST_PAGE_SIZE = 500;
const NO_CAPACITY = 'no capacity';

export function encodeCloudCall(call: CloudOp): HttpCall {
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
        body: { ask: call.request, breed: call.type, grove: call.zone, loaners: call.spot, count: call.count },
      };
    case 'delete':
      return { method: 'POST', path: '/hosts/delete', body: { perches: call.machines } };
  }
}

function decodeType(raw: unknown): MachineType {
  const fields = asFields(raw, 'breed');
  return {
    name: text(fields, 'name') as TypeName,
    cpus: amount(fields, 'cpus'),
    gpus: amount(fields, 'gpus'),
    memGb: amount(fields, 'mem_gb'),
    cacheGb: amount(fields, 'local_gb'),
    fetchGbPerS: amount(fields, 'fetch_gb_per_s'),
    price: amount(fields, 'rate'),
    spotPrice: amount(fields, 'spot_price'),
    bootS: amount(fields, 'startup_s'),
    zones: list(fields, 'groves') as ZoneName[],
  };
}

function decodeListedMachine(raw: unknown): ListedMachine {
  const fields = asFields(raw, 'perch');
  return {
    id: text(fields, 'ref') as MachineId,
    addr: typeof fields.addr === 'string' ? fields.addr : '',
    type: text(fields, 'breed') as TypeName,
    zone: text(fields, 'grove') as ZoneName,
    spot: flag(fields, 'loaners'),
    phase: oneOf(fields, 'mood', MACHINE_PHASES),
    ageS: amount(fields, 'held_s'),
  };
}

/** Why a call with this status brought no result; null: it did. */
function failureOf(call: CloudOp, status: number, body: unknown): Failure | null {
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

export function decodeCloudAnswer(call: CloudOp, status: number, body: unknown): Result<CloudValue> {
  const failure = failureOf(call, status, body);
  if (failure) return { ok: false, why: failure };
  const fields = asFields(body, 'answer');
  switch (call.op) {
    case 'types':
      return { ok: true, value: { types: list(fields, 'breeds').map(decodeType) } };
    case 'list': {
      const machines = list(fields, 'perches').map(decodeListedMachine);
      return { ok: true, value: { machines, more: fields.has_next === true } };
    }
    case 'rent':
      return { ok: true, value: { rented: list(fields, 'perches') as MachineId[] } };
    case 'delete':
      return { ok: true, value: {} };
  }
}
