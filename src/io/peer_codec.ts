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

function writeSpec(w: Writer, s: JobSpec): void {
  w.text(s.jobClass);
  w.text(s.team);
  w.u8(SHAPES.indexOf(s.shape));
  w.u8(s.rank);
  w.u32(s.tasks);
  for (const n of [s.cpus, s.gpus, s.memGb, s.imageGb, s.estimateS, s.checkpointS, s.saveS]) w.f64(n);
  w.text(s.image);
  w.optional(s.types === null ? null : s.types.join('\n'));
  w.optional(s.zone);
  w.u8((s.sameZone ? 1 : 0) | (s.spread ? 2 : 0) | (s.spotOk ? 4 : 0) | (s.deadlineS === null ? 0 : 8));
  w.f64(s.deadlineS ?? 0);
}

function readSpec(r: Reader, id: JobSpec['id']): JobSpec {
  const jobClass = r.text();
  const team = r.text() as JobSpec['team'];
  const shape = r.pick(SHAPES);
  const rank = r.pick([0, 1, 2, 3] as const);
  const tasks = r.u32();
  const [cpus, gpus, memGb, imageGb, estimateS, checkpointS, saveS] = [
    r.f64(),
    r.f64(),
    r.f64(),
    r.f64(),
    r.f64(),
    r.f64(),
    r.f64(),
  ];
  const image = r.text() as JobSpec['image'];
  const types = r.optional();
  const zone = r.optional() as JobSpec['zone'];
  const bits = r.u8();
  const deadlineS = r.f64();
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

function writeRequest(w: Writer, q: UserRequest): void {
  w.u8(OPS.indexOf(q.op));
  w.text(q.id);
  if (q.op !== 'submit') return;
  w.text(q.problem);
  w.u8(q.spec ? 1 : 0);
  if (q.spec) writeSpec(w, q.spec);
}

function readRequest(r: Reader): UserRequest {
  const op = r.pick(OPS);
  const id = jobId(r.text());
  if (!id) throw new FrameError('not a job id');
  if (op !== 'submit') return { op, id };
  const problem = r.text();
  return { op, id, problem, spec: r.u8() === 1 ? readSpec(r, id) : null };
}

function writeAnswer(w: Writer, a: UserAnswer): void {
  w.u32(a.status);
  if ('jobStatus' in a) {
    w.text(a.id);
    w.u8(JOB_STATUSES.indexOf(a.jobStatus));
    w.u32(a.done);
    w.u32(a.running);
  } else {
    w.text(a.problem);
    w.u32(a.retryAfterS ?? 0);
  }
}

function readAnswer(r: Reader): UserAnswer {
  const status = r.u32();
  if (status === 200 || status === 201) {
    const id = jobId(r.text());
    if (!id) throw new FrameError('not a job id');
    return { status, id, jobStatus: r.pick(JOB_STATUSES), done: r.u32(), running: r.u32() };
  }
  if (status !== 400 && status !== 404 && status !== 422 && status !== 503) throw new FrameError('unknown status');
  const problem = r.text();
  const retryAfterS = r.u32();
  return retryAfterS > 0 ? { status, problem, retryAfterS } : { status, problem };
}

function writeReport(w: Writer, r: WorkerReport): void {
  w.text(r.machine);
  w.text(r.addr);
  w.text(r.type);
  w.text(r.zone);
  w.u8((r.spot ? 1 : 0) | (r.noticeS === null ? 0 : 2));
  w.u64(r.session);
  w.u64(r.seq);
  w.u64(r.token);
  w.f64(r.noticeS ?? 0);
  w.u32(r.tasks.length);
  for (const t of r.tasks) {
    w.text(t.job);
    w.u32(t.index);
    w.u64(t.attempt);
    w.u8(PHASES.indexOf(t.phase) | (t.saved ? 16 : 0));
    w.u8(REASONS.indexOf(t.reason));
  }
}

function readReport(r: Reader): WorkerReport {
  const machine = r.text() as MachineId;
  const addr = r.text();
  const type = r.text() as TypeName;
  const zone = r.text() as ZoneName;
  const bits = r.u8();
  const session = r.u64() as Session;
  const seq = r.u64() as Seq;
  const token = r.u64() as Token;
  const notice = r.f64();
  const tasks: TaskReport[] = [];
  for (let n = r.count(); n > 0; n--) {
    const job = jobId(r.text());
    if (!job) throw new FrameError('not a job id');
    const index = r.u32();
    const attempt = r.u64() as Attempt;
    const code = r.u8();
    const phase = PHASES[code & 15];
    if (phase === undefined) throw new FrameError('unknown code');
    tasks.push({ job, index, attempt, phase, reason: r.pick(REASONS), saved: (code & 16) !== 0 });
  }
  const noticeS = (bits & 2) !== 0 ? notice : null;
  return { machine, addr, type, zone, spot: (bits & 1) !== 0, session, seq, token, noticeS, tasks };
}

function writeWorkerAnswer(w: Writer, a: WorkerAnswer): void {
  w.u32(a.status);
  if (a.status === 421) w.optional(a.reportTo);
  if (a.status !== 200) return;
  w.u64(a.token);
  w.u32(a.commands.length);
  for (const c of a.commands) {
    w.u8(COMMANDS.indexOf(c.op));
    w.text(c.job);
    w.u32(c.index);
    w.u64(c.attempt);
    if (c.op === 'stop') w.f64(c.graceS);
  }
}

function readWorkerAnswer(r: Reader): WorkerAnswer {
  const status = r.u32();
  if (status === 503) return { status };
  if (status === 421) return { status, reportTo: r.optional() as NodeName | null };
  if (status !== 200) throw new FrameError('unknown status');
  const token = r.u64() as Token;
  const commands: Command[] = [];
  for (let n = r.count(); n > 0; n--) {
    const op = r.pick(COMMANDS);
    const job = jobId(r.text());
    if (!job) throw new FrameError('not a job id');
    const index = r.u32();
    const attempt = r.u64() as Attempt;
    commands.push(op === 'stop' ? { op, job, index, attempt, graceS: r.f64() } : { op, job, index, attempt });
  }
  return { status, token, commands };
}

export function encodeFrame(f: PeerFrame): Buffer {
  const w = new Writer();
  if (f.kind === 'hello') w.text(f.node);
  else if (f.kind === 'status') {
    const { leading, storeOk, takesReports, acknowledgesCancellations } = f.status;
    w.u8((leading ? 1 : 0) | (storeOk ? 2 : 0) | (takesReports ? 4 : 0) | (acknowledgesCancellations ? 8 : 0));
    w.f64(f.status.workersHeardMs);
    w.f64(f.status.reportsPerS);
  } else {
    w.f64(f.id);
    if (f.kind === 'request') writeRequest(w, f.request);
    else if (f.kind === 'requestAnswer') writeAnswer(w, f.answer);
    else if (f.kind === 'report') writeReport(w, f.report);
    else if (f.kind === 'cancellation') w.text(f.job);
    else if (f.kind === 'reportAnswer') {
      w.text(f.machine);
      writeWorkerAnswer(w, f.answer);
    }
  }
  return w.finish(KINDS.indexOf(f.kind));
}

/** Null for a kind that this build doesn't know. */
function decodeFrame(kind: number, payload: Buffer): PeerFrame | null {
  const r = new Reader(payload);
  switch (KINDS[kind]) {
    case 'hello':
      return { kind: 'hello', node: r.text() as NodeName };
    case 'status': {
      const bits = r.u8();
      const workersHeardMs = r.f64();
      const reportsPerS = r.f64();
      const [leading, storeOk, takesReports] = [(bits & 1) !== 0, (bits & 2) !== 0, (bits & 4) !== 0];
      const acknowledgesCancellations = (bits & 8) !== 0;
      return {
        kind: 'status',
        status: { leading, storeOk, workersHeardMs, reportsPerS, takesReports, acknowledgesCancellations },
      };
    }
    case 'request':
      return { kind: 'request', id: r.f64(), request: readRequest(r) };
    case 'requestAnswer':
      return { kind: 'requestAnswer', id: r.f64(), answer: readAnswer(r) };
    case 'report':
      return { kind: 'report', id: r.f64(), report: readReport(r) };
    case 'reportAnswer':
      return { kind: 'reportAnswer', id: r.f64(), machine: r.text() as MachineId, answer: readWorkerAnswer(r) };
    case 'cancellation': {
      const id = r.f64();
      const job = jobId(r.text());
      if (!job) throw new FrameError('not a job id');
      return { kind: 'cancellation', id, job };
    }
    case 'cancellationAck':
      return { kind: 'cancellationAck', id: r.f64() };
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
