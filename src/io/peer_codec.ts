import type { JobStatus, PeerMessage, UserAnswer, UserRequest, WorkerAnswer } from '../core/messages.js';
import type {
  Attempt,
  Command,
  ExitReason,
  JobSpec,
  MachineId,
  NodeName,
  Seq,
  Session,
  TaskPhase,
  TaskReport,
  Token,
  TypeName,
  WorkerReport,
  ZoneName,
} from '../core/types.js';
import { jobId } from './wire.js';

/**
 * Between our own processes: frames of a four-byte length, a version, a kind and a payload, all by hand. What is too long
 * or cut short is refused whole, with its connection. A frame of a kind or version that we don't know is passed over: its
 * length says where the next begins. A payload may be longer than we know how to read, so that later builds can add to it;
 * builds of version 3 before kind 6 end the link over an unknown kind, so it goes only to who says that it knows it.
 */
export const PEER_VERSION = 3;
export const FRAME_MAX = 256 * 1024;
const HEAD = 6;

export type PeerFrame = { readonly kind: 'hello'; readonly node: NodeName } | PeerMessage;

const KINDS = [
  'hello',
  'status',
  'request',
  'requestAnswer',
  'report',
  'reportAnswer',
  'cancellation',
  'cancellationAck',
] as const;
const PHASES: readonly TaskPhase[] = ['fetching', 'waiting', 'running', 'saving', 'exited'];
const REASONS: readonly (ExitReason | null)[] = [
  null,
  'done',
  'stopped',
  'peers_gone',
  'alone',
  'error',
  'no_room',
  'busy',
  'unknown',
];
const COMMANDS: readonly Command['op'][] = ['start', 'stop', 'forget'];
/** A report is 64 KiB at most, and a task takes more than ten bytes of it. */
const TASKS_MAX = 8192;
const SHAPES = ['array', 'gang', 'service'] as const;
const OPS = ['submit', 'poll', 'cancel'] as const;
const JOB_STATUSES: readonly JobStatus[] = ['queued', 'running', 'done', 'cancelled'];

/** Frames are made one at a time, in this one, and copied out at their size: a fresh buffer for each costs as much again. */
let scratch = Buffer.alloc(4096);

class Writer {
  private buffer = scratch;
  private at = HEAD;

  private room(n: number): void {
    if (this.at + n <= this.buffer.length) return;
    const bigger = Buffer.alloc(Math.max(this.buffer.length * 2, this.at + n));
    this.buffer.copy(bigger, 0, 0, this.at);
    this.buffer = bigger;
    scratch = bigger;
  }

  u8(n: number): void {
    this.room(1);
    this.at = this.buffer.writeUInt8(n, this.at);
  }

  u32(n: number): void {
    this.room(4);
    this.at = this.buffer.writeUInt32BE(n, this.at);
  }

  u64(n: bigint): void {
    this.room(8);
    this.at = this.buffer.writeBigUInt64BE(n, this.at);
  }

  f64(n: number): void {
    this.room(8);
    this.at = this.buffer.writeDoubleBE(n, this.at);
  }

  text(s: string): void {
    const bytes = Buffer.byteLength(s);
    this.u32(bytes);
    this.room(bytes);
    this.at += this.buffer.write(s, this.at);
  }

  optional(s: string | null): void {
    this.u8(s === null ? 0 : 1);
    if (s !== null) this.text(s);
  }

  finish(kind: number): Buffer {
    this.buffer.writeUInt32BE(this.at - 4, 0);
    this.buffer.writeUInt8(PEER_VERSION, 4);
    this.buffer.writeUInt8(kind, 5);
    const frame = Buffer.allocUnsafe(this.at);
    this.buffer.copy(frame, 0, 0, this.at);
    return frame;
  }
}

export class FrameError extends Error {}

class Reader {
  private at = 0;
  constructor(private readonly buffer: Buffer) {}

  private take(n: number): number {
    const from = this.at;
    if (from + n > this.buffer.length) throw new FrameError('frame cut short');
    this.at += n;
    return from;
  }

  u8(): number {
    return this.buffer.readUInt8(this.take(1));
  }

  u32(): number {
    return this.buffer.readUInt32BE(this.take(4));
  }

  u64(): bigint {
    return this.buffer.readBigUInt64BE(this.take(8));
  }

  /** How many items follow. */
  count(): number {
    const n = this.u32();
    if (n > TASKS_MAX) throw new FrameError('too many items');
    return n;
  }

  f64(): number {
    return this.buffer.readDoubleBE(this.take(8));
  }

  text(): string {
    const n = this.u32();
    const from = this.take(n);
    return this.buffer.toString('utf8', from, from + n);
  }

  optional(): string | null {
    return this.u8() === 0 ? null : this.text();
  }

  pick<T>(from: readonly T[]): T {
    const value = from[this.u8()];
    if (value === undefined) throw new FrameError('unknown code');
    return value;
  }
}

function writeSpec(writer: Writer, spec: JobSpec): void {
  writer.text(spec.jobClass);
  writer.text(spec.team);
  writer.u8(SHAPES.indexOf(spec.shape));
  writer.u8(spec.rank);
  writer.u32(spec.tasks);
  for (const n of [spec.cpus, spec.gpus, spec.memGb, spec.imageGb, spec.estimateS, spec.checkpointS, spec.saveS])
    writer.f64(n);
  writer.text(spec.image);
  writer.optional(spec.types === null ? null : spec.types.join('\n'));
  writer.optional(spec.zone);
  writer.u8(
    (spec.sameZone ? 1 : 0) | (spec.spread ? 2 : 0) | (spec.spotOk ? 4 : 0) | (spec.deadlineS === null ? 0 : 8),
  );
  writer.f64(spec.deadlineS ?? 0);
}

function readSpec(reader: Reader, id: JobSpec['id']): JobSpec {
  const jobClass = reader.text();
  const team = reader.text() as JobSpec['team'];
  const shape = reader.pick(SHAPES);
  const rank = reader.pick([0, 1, 2, 3] as const);
  const tasks = reader.u32();
  const [cpus, gpus, memGb, imageGb, estimateS, checkpointS, saveS] = [
    reader.f64(),
    reader.f64(),
    reader.f64(),
    reader.f64(),
    reader.f64(),
    reader.f64(),
    reader.f64(),
  ];
  const image = reader.text() as JobSpec['image'];
  const types = reader.optional();
  const zone = reader.optional() as JobSpec['zone'];
  const bits = reader.u8();
  const deadlineS = reader.f64();
  return {
    id,
    jobClass,
    team,
    shape,
    rank,
    tasks,
    cpus,
    gpus,
    memGb,
    image,
    imageGb,
    types: types === null ? null : types === '' ? [] : (types.split('\n') as never[]),
    zone,
    sameZone: (bits & 1) !== 0,
    spread: (bits & 2) !== 0,
    spotOk: (bits & 4) !== 0,
    estimateS,
    checkpointS,
    saveS,
    deadlineS: (bits & 8) !== 0 ? deadlineS : null,
  };
}

function writeRequest(writer: Writer, request: UserRequest): void {
  writer.u8(OPS.indexOf(request.op));
  writer.text(request.id);
  if (request.op !== 'submit') return;
  writer.text(request.problem);
  writer.u8(request.spec ? 1 : 0);
  if (request.spec) writeSpec(writer, request.spec);
}

function readRequest(reader: Reader): UserRequest {
  const op = reader.pick(OPS);
  const id = jobId(reader.text());
  if (!id) throw new FrameError('not a job id');
  if (op !== 'submit') return { op, id };
  const problem = reader.text();
  return { op, id, problem, spec: reader.u8() === 1 ? readSpec(reader, id) : null };
}

function writeAnswer(writer: Writer, answer: UserAnswer): void {
  writer.u32(answer.status);
  if ('jobStatus' in answer) {
    writer.text(answer.id);
    writer.u8(JOB_STATUSES.indexOf(answer.jobStatus));
    writer.u32(answer.done);
    writer.u32(answer.running);
  } else {
    writer.text(answer.problem);
    writer.u32(answer.retryAfterS ?? 0);
  }
}

function readAnswer(reader: Reader): UserAnswer {
  const status = reader.u32();
  if (status === 200 || status === 201) {
    const id = jobId(reader.text());
    if (!id) throw new FrameError('not a job id');
    return { status, id, jobStatus: reader.pick(JOB_STATUSES), done: reader.u32(), running: reader.u32() };
  }
  if (status !== 400 && status !== 404 && status !== 422 && status !== 503) throw new FrameError('unknown status');
  const problem = reader.text();
  const retryAfterS = reader.u32();
  return retryAfterS > 0 ? { status, problem, retryAfterS } : { status, problem };
}

function writeReport(writer: Writer, report: WorkerReport): void {
  writer.text(report.machine);
  writer.text(report.addr);
  writer.text(report.type);
  writer.text(report.zone);
  writer.u8((report.spot ? 1 : 0) | (report.noticeS === null ? 0 : 2));
  writer.u64(report.session);
  writer.u64(report.seq);
  writer.u64(report.token);
  writer.f64(report.noticeS ?? 0);
  writer.u32(report.tasks.length);
  for (const task of report.tasks) {
    writer.text(task.job);
    writer.u32(task.index);
    writer.u64(task.attempt);
    writer.u8(PHASES.indexOf(task.phase) | (task.saved ? 16 : 0));
    writer.u8(REASONS.indexOf(task.reason));
  }
}

function readReport(reader: Reader): WorkerReport {
  const machine = reader.text() as MachineId;
  const addr = reader.text();
  const type = reader.text() as TypeName;
  const zone = reader.text() as ZoneName;
  const bits = reader.u8();
  const session = reader.u64() as Session;
  const seq = reader.u64() as Seq;
  const token = reader.u64() as Token;
  const notice = reader.f64();
  const tasks: TaskReport[] = [];
  for (let n = reader.count(); n > 0; n--) {
    const job = jobId(reader.text());
    if (!job) throw new FrameError('not a job id');
    const index = reader.u32();
    const attempt = reader.u64() as Attempt;
    const code = reader.u8();
    const phase = PHASES[code & 15];
    if (phase === undefined) throw new FrameError('unknown code');
    tasks.push({ job, index, attempt, phase, reason: reader.pick(REASONS), saved: (code & 16) !== 0 });
  }
  const noticeS = (bits & 2) !== 0 ? notice : null;
  return { machine, addr, type, zone, spot: (bits & 1) !== 0, session, seq, token, noticeS, tasks };
}

function writeWorkerAnswer(writer: Writer, answer: WorkerAnswer): void {
  writer.u32(answer.status);
  if (answer.status === 421) writer.optional(answer.reportTo);
  if (answer.status !== 200) return;
  writer.u64(answer.token);
  writer.u32(answer.commands.length);
  for (const command of answer.commands) {
    writer.u8(COMMANDS.indexOf(command.op));
    writer.text(command.job);
    writer.u32(command.index);
    writer.u64(command.attempt);
    if (command.op === 'stop') writer.f64(command.graceS);
  }
}

function readWorkerAnswer(reader: Reader): WorkerAnswer {
  const status = reader.u32();
  if (status === 503) return { status };
  if (status === 421) return { status, reportTo: reader.optional() as NodeName | null };
  if (status !== 200) throw new FrameError('unknown status');
  const token = reader.u64() as Token;
  const commands: Command[] = [];
  for (let n = reader.count(); n > 0; n--) {
    const op = reader.pick(COMMANDS);
    const job = jobId(reader.text());
    if (!job) throw new FrameError('not a job id');
    const index = reader.u32();
    const attempt = reader.u64() as Attempt;
    commands.push(op === 'stop' ? { op, job, index, attempt, graceS: reader.f64() } : { op, job, index, attempt });
  }
  return { status, token, commands };
}

export function encodeFrame(frame: PeerFrame): Buffer {
  const writer = new Writer();
  if (frame.kind === 'hello') writer.text(frame.node);
  else if (frame.kind === 'status') {
    const { leading, storeOk, takesReports, acknowledgesCancellations } = frame.status;
    writer.u8((leading ? 1 : 0) | (storeOk ? 2 : 0) | (takesReports ? 4 : 0) | (acknowledgesCancellations ? 8 : 0));
    writer.f64(frame.status.workersHeardMs);
    writer.f64(frame.status.reportsPerS);
  } else {
    writer.f64(frame.id);
    if (frame.kind === 'request') writeRequest(writer, frame.request);
    else if (frame.kind === 'requestAnswer') writeAnswer(writer, frame.answer);
    else if (frame.kind === 'report') writeReport(writer, frame.report);
    else if (frame.kind === 'cancellation') writer.text(frame.job);
    else if (frame.kind === 'reportAnswer') {
      writer.text(frame.machine);
      writeWorkerAnswer(writer, frame.answer);
    }
  }
  return writer.finish(KINDS.indexOf(frame.kind));
}

/** Null for a kind that this build doesn't know. */
function decodeFrame(kind: number, payload: Buffer): PeerFrame | null {
  const reader = new Reader(payload);
  switch (KINDS[kind]) {
    case 'hello':
      return { kind: 'hello', node: reader.text() as NodeName };
    case 'status': {
      const bits = reader.u8();
      const workersHeardMs = reader.f64();
      const reportsPerS = reader.f64();
      const [leading, storeOk, takesReports] = [(bits & 1) !== 0, (bits & 2) !== 0, (bits & 4) !== 0];
      const acknowledgesCancellations = (bits & 8) !== 0;
      return {
        kind: 'status',
        status: { leading, storeOk, workersHeardMs, reportsPerS, takesReports, acknowledgesCancellations },
      };
    }
    case 'request':
      return { kind: 'request', id: reader.f64(), request: readRequest(reader) };
    case 'requestAnswer':
      return { kind: 'requestAnswer', id: reader.f64(), answer: readAnswer(reader) };
    case 'report':
      return { kind: 'report', id: reader.f64(), report: readReport(reader) };
    case 'reportAnswer':
      return {
        kind: 'reportAnswer',
        id: reader.f64(),
        machine: reader.text() as MachineId,
        answer: readWorkerAnswer(reader),
      };
    case 'cancellation': {
      const id = reader.f64();
      const job = jobId(reader.text());
      if (!job) throw new FrameError('not a job id');
      return { kind: 'cancellation', id, job };
    }
    case 'cancellationAck':
      return { kind: 'cancellationAck', id: reader.f64() };
    default:
      return null;
  }
}

/** Cuts a stream into frames. Throws on anything it can't trust; the connection is then closed. */
export class FrameSplitter {
  /** Frames of kinds or versions that this build doesn't know, passed over. */
  skipped = 0;
  private rest: Buffer = Buffer.alloc(0);

  push(part: Buffer): PeerFrame[] {
    this.rest = this.rest.length === 0 ? part : Buffer.concat([this.rest, part]);
    const frames: PeerFrame[] = [];
    while (this.rest.length >= HEAD) {
      const length = this.rest.readUInt32BE(0);
      if (length < 2 || length > FRAME_MAX) throw new FrameError('frame length out of bounds');
      if (this.rest.length < 4 + length) break;
      const known = this.rest.readUInt8(4) === PEER_VERSION;
      const frame = known ? decodeFrame(this.rest.readUInt8(5), this.rest.subarray(HEAD, 4 + length)) : null;
      if (frame) frames.push(frame);
      else this.skipped += 1;
      this.rest = this.rest.subarray(4 + length);
    }
    return frames;
  }
}
