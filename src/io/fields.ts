/** Checked access to fields of decoded messages. What doesn't fit throws, and the caller drops the message. */
export class WireError extends Error {}

export type Fields = Record<string, unknown>;

export function fields(v: unknown, what: string): Fields {
  if (typeof v !== 'object' || v === null || Array.isArray(v)) throw new WireError(`${what} is not a map`);
  return v as Fields;
}

export function list(fields: Fields, key: string): unknown[] {
  const v = fields[key];
  if (!Array.isArray(v)) throw new WireError(`${key} is not a list`);
  return v;
}

export function text(fields: Fields, key: string, most = 200): string {
  const v = fields[key];
  if (typeof v !== 'string' || v.length === 0 || v.length > most) throw new WireError(`${key} is not a text`);
  return v;
}

export function textOrNull(fields: Fields, key: string): string | null {
  return fields[key] === undefined || fields[key] === null ? null : text(fields, key);
}

export function flag(fields: Fields, key: string): boolean {
  const v = fields[key];
  if (typeof v !== 'boolean') throw new WireError(`${key} is not a boolean`);
  return v;
}

/** A count, version, token or attempt: an integer below 2^64, whole whatever its size. */
export function uint(fields: Fields, key: string): bigint {
  const v = fields[key];
  if (typeof v === 'bigint' && v >= 0n && v < 1n << 64n) return v;
  if (typeof v === 'number' && Number.isSafeInteger(v) && v >= 0) return BigInt(v);
  throw new WireError(`${key} is not a count`);
}

/** An amount: finite and not negative. */
export function amount(fields: Fields, key: string): number {
  const v = fields[key];
  const n = typeof v === 'bigint' ? Number(v) : v;
  if (typeof n !== 'number' || !Number.isFinite(n) || n < 0) throw new WireError(`${key} is not an amount`);
  return n;
}

export function amountOrNull(fields: Fields, key: string): number | null {
  return fields[key] === undefined || fields[key] === null ? null : amount(fields, key);
}

export function oneOf<T>(fields: Fields, key: string, values: Readonly<Record<string, T>>): T {
  const v = fields[key];
  if (typeof v === 'string' && Object.hasOwn(values, v)) return values[v] as T;
  throw new WireError(`${key} has an unknown value`);
}
