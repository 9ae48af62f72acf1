/** Translates requests and responses to and from the wire names of the cloud's protocol. */
import type { CloudError, CloudOperation, CloudResult } from '../../core/messages.js';
import type { CloudMachine, MachineId, MachineType, ZoneName } from '../../core/types.js';
import type { HttpRequest } from '../http/http_request.js';
import { amountField, booleanField, enumField, expectMap, listField, textField } from '../wire/fields.js';

const MACHINE_PHASES: Readonly<Record<string, CloudMachine['phase']>> = {
  booting: 'booting',
  running: 'running',
  failed: 'failed',
};
/** Number of machines requested for each page of the machine list. This is the maximum that the cloud returns. */
const LIST_PAGE_SIZE = 500;
/** The error text with which the cloud reports that it has no capacity for the requested machine type and zone. */
const NO_CAPACITY = 'no capacity';

/** Returns the HTTP request for an operation. */
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
    name: textField(fields, 'name'),
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
    id: textField(fields, 'ref'),
    address: typeof fields.addr === 'string' ? fields.addr : '',
    type: textField(fields, 'breed'),
    zone: textField(fields, 'grove'),
    spot: booleanField(fields, 'loaners'),
    phase: enumField(fields, 'mood', MACHINE_PHASES),
    ageSeconds: amountField(fields, 'held_s'),
  };
}

/** Returns the error that a response status stands for, or null if the call succeeded. */
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

/** Decodes the response to an operation. Throws `WireError` if the status is a success but the body is malformed. */
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
