import type { CloudError, CloudOperation, CloudResult } from '../../core/messages.js';
import type { CloudMachine, MachineId, MachineType, MachineTypeName, ZoneName } from '../../core/types.js';
import type { HttpRequest } from '../http/http_request.js';
import { amountField, booleanField, enumField, expectMap, listField, textField } from '../wire/fields.js';

/** Calls to the cloud and its answers, by the names that they have on the wire. */
const MACHINE_PHASES: Readonly<Record<string, CloudMachine['phase']>> = {
  booting: 'booting',
  running: 'running',
  failed: 'failed',
};
const LIST_PAGE_SIZE = 500;
const NO_CAPACITY = 'no capacity';

export function encodeCloudRequest(call: CloudOperation): HttpRequest {
  switch (call.op) {
    case 'types':
      return { method: 'GET', path: '/catalog' };
    case 'list': {
      const after = call.after === null ? '' : `after=${encodeURIComponent(call.after)}&`;
      return { method: 'GET', path: `/hosts?${after}most=${LIST_PAGE_SIZE}` };
    }
    case 'provision':
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
    case 'terminate':
      return { method: 'POST', path: '/hosts/delete', body: { perches: call.machines } };
  }
}

function decodeMachineType(raw: unknown): MachineType {
  const fields = expectMap(raw, 'breed');
  return {
    name: textField(fields, 'name') as MachineTypeName,
    cpus: amountField(fields, 'cpus'),
    gpus: amountField(fields, 'gpus'),
    memoryGb: amountField(fields, 'mem_gb'),
    imageCacheGb: amountField(fields, 'local_gb'),
    imagePullGbPerSecond: amountField(fields, 'fetch_gb_per_s'),
    pricePerHour: amountField(fields, 'rate'),
    spotPricePerHour: amountField(fields, 'spot_price'),
    bootSeconds: amountField(fields, 'startup_s'),
    zones: listField(fields, 'groves') as ZoneName[],
  };
}

function decodeListedMachine(raw: unknown): CloudMachine {
  const fields = expectMap(raw, 'perch');
  return {
    id: textField(fields, 'ref') as MachineId,
    address: typeof fields.addr === 'string' ? fields.addr : '',
    type: textField(fields, 'breed') as MachineTypeName,
    zone: textField(fields, 'grove') as ZoneName,
    spot: booleanField(fields, 'loaners'),
    phase: enumField(fields, 'mood', MACHINE_PHASES),
    ageSeconds: amountField(fields, 'held_s'),
  };
}

/** Why a call with this status brought no result; null: it did. */
function errorOfStatus(call: CloudOperation, status: number, body: unknown): CloudError | null {
  switch (status) {
    case 200:
      return null;
    case 429:
      return { code: 'throttled' };
    case 503: {
      const error = (body as { error?: unknown } | null)?.error;
      return { code: call.op === 'provision' && error === NO_CAPACITY ? 'noCapacity' : 'unavailable' };
    }
    case 400:
      return { code: 'invalidRequest' };
    default:
      return { code: 'outcomeUnknown' };
  }
}

export function decodeCloudResponse(call: CloudOperation, status: number, body: unknown): CloudResult {
  const error = errorOfStatus(call, status, body);
  if (error) return { ok: false, error };
  const fields = expectMap(body, 'answer');
  switch (call.op) {
    case 'types':
      return { ok: true, value: { machineTypes: listField(fields, 'breeds').map(decodeMachineType) } };
    case 'list': {
      const machines = listField(fields, 'perches').map(decodeListedMachine);
      return { ok: true, value: { machines, more: fields.has_next === true } };
    }
    case 'provision':
      return { ok: true, value: { provisioned: listField(fields, 'perches') as MachineId[] } };
    case 'terminate':
      return { ok: true, value: {} };
  }
}
