/**
 * Reading and writing of the payloads of peer frames: big-endian numbers, and texts behind their length in bytes.
 */
import { ApplicationError } from '../../errors.js';

/** Bytes before a frame's payload: four of its length, one of its version, one of its kind. */
export const FRAME_HEADER_BYTES = 6;
/** The field that says how many bytes follow it. */
export const LENGTH_BYTES = 4;
export const VERSION_OFFSET = 4;
export const KIND_OFFSET = 5;
/** A heartbeat has 64 KiB at most, and a task takes more than ten bytes of it. */
const MAX_ITEMS = 8192;
const INITIAL_BYTES = 4096;

/** A frame that can't be trusted: the connection it came on is closed. */
export class FrameError extends ApplicationError<'malformedFrame'> {
  constructor(problem: string) {
    super('malformedFrame', problem);
  }
}

/** Frames are written one at a time into this buffer and copied out: a fresh one for each costs as much again. */
let sharedBuffer = Buffer.alloc(INITIAL_BYTES);

/** Builds one frame. */
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
 * Reads one payload; throws `FrameError` where it is cut short or holds an unknown code. Texts and 64-bit numbers come as the
 * branded types that the caller gives them.
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

  /** How many items follow, within bounds. */
  listLength(): number {
    const count = this.uint32();
    if (count > MAX_ITEMS) throw new FrameError('too many items');
    return count;
  }

  /** The value whose index in `values` comes next. */
  enumValue<T>(values: readonly T[]): T {
    return enumValueAt(values, this.uint8());
  }
}

/** Returns the value that a code stands for; throws `FrameError` if it stands for none. */
export function enumValueAt<T>(values: readonly T[], code: number): T {
  const value = values[code];
  if (value === undefined) throw new FrameError('unknown code');
  return value;
}

/** Returns the bit where it has to be set, else 0. */
export const bitIf = (isSet: boolean, bit: number): number => (isSet ? bit : 0);

/** Returns whether a bit is set among others. */
export const hasBit = (bits: number, bit: number): boolean => (bits & bit) !== 0;
