/**
 * Compares what the code produces with the golden files, or rewrites these files if WRITE_GOLDEN is 1. They record
 * the bytes and messages that other programs and earlier releases see, as the code wrote them when the files were
 * created. They contain only names used on the wire and in the state store, and no identifiers of the code. They are
 * never edited to make a test pass.
 */
import assert from 'node:assert/strict';
import { readFileSync, writeFileSync } from 'node:fs';
import { after, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { decodeCbor } from '../../src/io/wire/cbor.js';

const isWriting = process.env.WRITE_GOLDEN === '1';

const pathOf = (name: string): string =>
  fileURLToPath(new URL(`../../../../test/golden/${name}.json`, import.meta.url));

/** A value in a golden file: a text, number, boolean or null, or a list or map of such values. */
export type GoldenValue =
  | string
  | number
  | boolean
  | null
  | readonly GoldenValue[]
  | { readonly [key: string]: GoldenValue };

/** One golden file. Every entry must be compared exactly once. */
export class GoldenFile {
  private readonly expected: ReadonlyMap<string, GoldenValue>;
  private readonly seen = new Map<string, GoldenValue>();

  constructor(private readonly name: string) {
    this.expected = isWriting ? new Map() : new Map(Object.entries(JSON.parse(readFileSync(pathOf(name), 'utf8'))));
    after(() => this.finish());
  }

  /** Compares the value that the code produces now with the entry. */
  check(entry: string, actual: GoldenValue): void {
    assert.ok(!this.seen.has(entry), `${this.name}: ${entry} was checked twice`);
    this.seen.set(entry, actual);
    if (isWriting) return;
    assert.ok(this.expected.has(entry), `${this.name}: no golden entry named ${entry}`);
    assert.deepEqual(actual, this.expected.get(entry), `${this.name}: ${entry}`);
  }

  /** Adds a test that fails if entries of the file were not compared. It must be the last test that uses the file. */
  checkComplete(): void {
    test(`${this.name}: every golden entry is compared`, () => {
      if (!isWriting) assert.deepEqual([...this.expected.keys()].sort(), [...this.seen.keys()].sort());
    });
  }

  private finish(): void {
    if (!isWriting) return;
    if (process.env.CI) throw new Error('golden files must not be written in CI: unset WRITE_GOLDEN');
    // One entry per line, so that a diff shows which entries changed.
    const lines = [...this.seen].map(([entry, value]) => `${JSON.stringify(entry)}: ${JSON.stringify(value)}`);
    writeFileSync(pathOf(this.name), `{\n${lines.join(',\n')}\n}\n`);
    console.error(`!!!! WRITE_GOLDEN: ${pathOf(this.name)} WAS REWRITTEN: nothing was compared !!!!`);
  }
}

export const hex = (bytes: Uint8Array): string => Buffer.from(bytes).toString('hex');
export const unhex = (text: string): Buffer => Buffer.from(text, 'hex');

/** Returns the CBOR bytes as hex, together with their decoded content for readers of the golden file. */
export const cborWithText = (bytes: Uint8Array): GoldenValue => ({
  cbor: hex(bytes),
  says: printable(decodeCbor(bytes)),
});

function printable(value: unknown): GoldenValue {
  if (typeof value === 'bigint') return `${value}n`;
  if (typeof value === 'number' && !Number.isFinite(value)) return String(value);
  if (value === undefined) return 'undefined';
  if (Array.isArray(value)) return value.map(printable);
  if (typeof value !== 'object' || value === null) return value as GoldenValue;
  return Object.fromEntries(Object.entries(value).map(([key, part]) => [key, printable(part)]));
}

/** Returns the message of the error that the call throws. Fails if it does not throw. */
export function thrownMessage(call: () => unknown): string {
  try {
    call();
  } catch (error) {
    return (error as Error).message;
  }
  assert.fail('expected the call to throw, but it returned');
}
