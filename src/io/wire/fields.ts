/**
 * Reads and checks the fields of decoded messages. Each function throws `WireError`, which names the field, if the
 * value is missing or has another type. They are plain functions instead of a schema because every heartbeat passes
 * through them.
 */
import { WireError } from './wire_error.js';

/** A decoded map whose fields have not been checked yet. */
export type WireMap = Record<string, unknown>;

const MAX_TEXT_LENGTH = 200;
const UINT64_LIMIT = 1n << 64n;

/** Returns a decoded value that must be a map. `what` names the value in the error. */
export function expectMap(value: unknown, what: string): WireMap {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) throw new WireError(`${what} is not a map`);
  return value as WireMap;
}

/** Reads a list. The caller must check the items. */
export function listField(fields: WireMap, key: string): unknown[] {
  const value = fields[key];
  if (!Array.isArray(value)) throw new WireError(`${key} is not a list`);
  return value;
}

/** Reads a text of 1 to 200 characters as the branded type that the caller names. Callers need no cast of their own. */
export function textField<Text extends string = string>(fields: WireMap, key: string): Text {
  const value = fields[key];
  if (typeof value !== 'string' || value.length === 0 || value.length > MAX_TEXT_LENGTH) {
    throw new WireError(`${key} is not a text`);
  }
  return value as Text;
}

const isMissing = (fields: WireMap, key: string): boolean => fields[key] === undefined || fields[key] === null;

/** Reads a text as `textField` does. Returns null if the field is null or missing. */
export function optionalTextField<Text extends string = string>(fields: WireMap, key: string): Text | null {
  return isMissing(fields, key) ? null : textField<Text>(fields, key);
}

/** Reads a boolean. */
export function booleanField(fields: WireMap, key: string): boolean {
  const value = fields[key];
  if (typeof value !== 'boolean') throw new WireError(`${key} is not a boolean`);
  return value;
}

/**
 * Reads an integer from 0 to below 2^64 (a count, version, token or attempt) as the branded type that the caller names.
 */
export function uint64Field<Value extends bigint = bigint>(fields: WireMap, key: string): Value {
  const value = fields[key];
  if (typeof value === 'bigint' && value >= 0n && value < UINT64_LIMIT) return value as Value;
  if (typeof value === 'number' && Number.isSafeInteger(value) && value >= 0) return BigInt(value) as Value;
  throw new WireError(`${key} is not a count`);
}

/** Reads an amount, which must be finite and not negative. The protocol defines the unit of each field. */
export function amountField(fields: WireMap, key: string): number {
  const raw = fields[key];
  const value = typeof raw === 'bigint' ? Number(raw) : raw;
  if (typeof value !== 'number' || !Number.isFinite(value) || value < 0) throw new WireError(`${key} is not an amount`);
  return value;
}

/** Reads an amount as `amountField` does. Returns null if the field is null or missing. */
export function optionalAmountField(fields: WireMap, key: string): number | null {
  return isMissing(fields, key) ? null : amountField(fields, key);
}

/** Reads an enumeration value by its wire name. `values` maps wire names to values. */
export function enumField<T>(fields: WireMap, key: string, values: Readonly<Record<string, T>>): T {
  const name = fields[key];
  if (typeof name === 'string' && Object.hasOwn(values, name)) return values[name] as T;
  throw new WireError(`${key} has an unknown value`);
}
