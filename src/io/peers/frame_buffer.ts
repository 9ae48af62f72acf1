/** Writes and reads the payloads of peer frames. Numbers are big-endian. A text is preceded by its length in bytes. */
import { ApplicationError } from '../../errors.js';

/** Size of a frame's header in bytes: four for the length, one for the version and one for the kind. */
export const FRAME_HEADER_BYTES = 6;
/** Size in bytes of the length field, which holds the number of bytes that follow it. */
export const LENGTH_BYTES = 4;
/** Offsets of the version byte and the kind byte in a frame. */
export const VERSION_OFFSET = 4;
export const KIND_OFFSET = 5;
/**
 * Maximum number of items in a list. A heartbeat has at most 64 KiB and each of its tasks takes more than ten bytes.
 */
const MAX_ITEMS = 8192;
const INITIAL_BYTES = 4096;

/** Thrown for a malformed frame. The connection on which the frame arrived is then closed. */
export class FrameError extends ApplicationError<'malformedFrame'> {
  constructor(problem: string) {
    super('malformedFrame', problem);
  }
}

/**
 * The buffer into which frames are written one at a time before they are copied out. Allocating a new buffer for each
 * frame would double the cost of writing a frame.
 */
let sharedBuffer = Buffer.alloc(INITIAL_BYTES);

/** Writes one frame. Only one writer may be in use at a time, because all writers share a buffer. */
export class FrameWriter {
  private buffer = sharedBuffer;
  private offset = FRAME_HEADER_BYTES;

  private ensureCapacity(bytes: number): void {
    const needed = this.offset + bytes;
    if (needed <= this.buffer.length) return;
    const larger = Buffer.alloc(Math.max(this.buffer.length * 2, needed));
    this.buffer.copy(larger, 0, 0, this.offset);
    this.buffer = larger;
    sharedBuffer = larger;
  }

  uint8(value: number): void {
    this.ensureCapacity(1);
    this.offset = this.buffer.writeUInt8(value, this.offset);
  }

  uint32(value: number): void {
    this.ensureCapacity(4);
    this.offset = this.buffer.writeUInt32BE(value, this.offset);
  }

  uint64(value: bigint): void {
    this.ensureCapacity(8);
    this.offset = this.buffer.writeBigUInt64BE(value, this.offset);
  }

  float64(value: number): void {
    this.ensureCapacity(8);
    this.offset = this.buffer.writeDoubleBE(value, this.offset);
  }

  text(value: string): void {
    const bytes = Buffer.byteLength(value);
    this.uint32(bytes);
    this.ensureCapacity(bytes);
    this.offset += this.buffer.write(value, this.offset);
  }

  optionalText(value: string | null): void {
    this.uint8(value === null ? 0 : 1);
    if (value !== null) this.text(value);
  }

  /** Completes the header and returns the frame. */
  finish(version: number, kind: number): Buffer {
    this.buffer.writeUInt32BE(this.offset - LENGTH_BYTES, 0);
    this.buffer.writeUInt8(version, VERSION_OFFSET);
    this.buffer.writeUInt8(kind, KIND_OFFSET);
    const frame = Buffer.allocUnsafe(this.offset);
    this.buffer.copy(frame, 0, 0, this.offset);
    return frame;
  }
}

/**
 * Reads one payload. Throws `FrameError` if the payload is truncated or contains an unknown code. Texts and 64-bit
 * numbers are returned as the branded types that the caller names.
 */
export class FrameReader {
  private offset = 0;

  constructor(private readonly payload: Buffer) {}

  private advance(bytes: number): number {
    const from = this.offset;
    if (from + bytes > this.payload.length) throw new FrameError('frame cut short');
    this.offset += bytes;
    return from;
  }

  uint8(): number {
    return this.payload.readUInt8(this.advance(1));
  }

  uint32(): number {
    return this.payload.readUInt32BE(this.advance(4));
  }

  uint64<Value extends bigint = bigint>(): Value {
    return this.payload.readBigUInt64BE(this.advance(8)) as Value;
  }

  float64(): number {
    return this.payload.readDoubleBE(this.advance(8));
  }

  text<Text extends string = string>(): Text {
    const bytes = this.uint32();
    const from = this.advance(bytes);
    return this.payload.toString('utf8', from, from + bytes) as Text;
  }

  optionalText<Text extends string = string>(): Text | null {
    return this.uint8() === 0 ? null : this.text<Text>();
  }

  /** Reads the number of items that follow. Throws `FrameError` if it exceeds `MAX_ITEMS`. */
  listLength(): number {
    const count = this.uint32();
    if (count > MAX_ITEMS) throw new FrameError('too many items');
    return count;
  }

  /** Reads an index into `values` and returns the value at that index. */
  enumValue<T>(values: readonly T[]): T {
    return enumValueAt(values, this.uint8());
  }
}

/** Returns the element of `values` at the index `code`. Throws `FrameError` if there is none. */
export function enumValueAt<T>(values: readonly T[], code: number): T {
  const value = values[code];
  if (value === undefined) throw new FrameError('unknown code');
  return value;
}

/** Returns `bit` if it has to be set, otherwise 0. */
export const bitIf = (isSet: boolean, bit: number): number => (isSet ? bit : 0);

export const hasBit = (bits: number, bit: number): boolean => (bits & bit) !== 0;
