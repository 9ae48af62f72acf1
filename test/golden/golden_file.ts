import assert from 'node:assert/strict';
import { readFileSync, writeFileSync } from 'node:fs';
import { after, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { decodeCbor } from '../../src/io/wire/cbor.js';

/**
 * The golden files: bytes and messages that other programs and earlier releases see, as the code wrote them when the files
 * were made. They hold names on the wire and in store only, none of the code's own, and are never edited to get a pass.
 */
const isWriting = process.env.WRITE_GOLDEN === '1';

const pathOf = (name: string): string =>
  fileURLToPath(new URL(`../../../../test/golden/${name}.json`, import.meta.url));

/** What stands in a golden file: texts, numbers, and lists and maps of them. */
export type Golden = string | number | boolean | null | readonly Golden[] | { readonly [key: string]: Golden };

/** One golden file: every entry is compared once, and none may be left over. */
export class GoldenFile {
  private readonly expected: ReadonlyMap<string, Golden>;
  private readonly seen = new Map<string, Golden>();

  constructor(private readonly name: string) {
    this.expected = isWriting ? new Map() : new Map(Object.entries(JSON.parse(readFileSync(pathOf(name), 'utf8'))));
    after(() => this.finish());
  }

  /** Compares what the code makes now with the entry. */
  check(entry: string, made: Golden): void {
    assert.ok(!this.seen.has(entry), `${this.name}: ${entry} is made twice`);
    this.seen.set(entry, made);
    if (isWriting) return;
    assert.ok(this.expected.has(entry), `${this.name}: no entry ${entry}`);
    assert.deepEqual(made, this.expected.get(entry), `${this.name}: ${entry}`);
  }

  /** A test that fails where entries of the file were not compared; it has to be the last of its file. */
  checkComplete(): void {
    test(`${this.name}: every golden entry is compared`, () => {
      if (!isWriting) assert.deepEqual([...this.expected.keys()].sort(), [...this.seen.keys()].sort());
    });
  }

  private finish(): void {
    if (!isWriting) return;
    if (process.env.CI) throw new Error('golden files are never written in CI');
    // One entry a line: a difference shows which entries changed.
    const lines = [...this.seen].map(([entry, made]) => `${JSON.stringify(entry)}: ${JSON.stringify(made)}`);
    writeFileSync(pathOf(this.name), `{\n${lines.join(',\n')}\n}\n`);
    console.error(`!!!! WRITE_GOLDEN: ${pathOf(this.name)} WAS WRITTEN ANEW: nothing was compared !!!!`);
  }
}

export const hex = (bytes: Uint8Array): string => Buffer.from(bytes).toString('hex');
export const unhex = (text: string): Buffer => Buffer.from(text, 'hex');

/** CBOR with, for readers, what it says. */
export const cborEntry = (bytes: Uint8Array): Golden => ({ cbor: hex(bytes), says: printable(decodeCbor(bytes)) });

function printable(value: unknown): Golden {
  if (typeof value === 'bigint') return `${value}n`;
  if (typeof value === 'number' && !Number.isFinite(value)) return String(value);
  if (value === undefined) return 'undefined';
  if (Array.isArray(value)) return value.map(printable);
  if (typeof value !== 'object' || value === null) return value as Golden;
  return Object.fromEntries(Object.entries(value).map(([key, part]) => [key, printable(part)]));
}

/** What a call throws, as a text; it has to throw. */
export function thrownBy(call: () => unknown): string {
  try {
    call();
  } catch (error) {
    return (error as Error).message;
  }
  assert.fail('nothing was thrown');
}
