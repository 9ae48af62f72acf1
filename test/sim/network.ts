import type { Clock } from './clock.js';

type CutMode = 'drop' | 'hold';

interface Cut {
  readonly a: string;
  readonly b: string;
  readonly mode: CutMode;
  /** Only what goes to `a` is cut: it is heard but doesn't hear. */
  readonly oneWay: boolean;
  readonly held: (() => void)[];
}

/** Messages between hosts, with cuts that lose them or hold them back and deliver them late. */
export class Network {
  private readonly cuts = new Set<Cut>();
  private readonly delays = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Cuts `a` from `b` ("*": from everybody) for a while. */
  cut(a: string, b: string, ms: number, mode: CutMode, oneWay = false): void {
    const cut: Cut = { a, b, mode, oneWay, held: [] };
    this.cuts.add(cut);
    this.clock.in(ms, () => {
      this.cuts.delete(cut);
      for (const deliver of cut.held) this.clock.in(this.clock.between(1, 20), deliver);
    });
  }

  /** Messages to and from a host take up to `delayMs` longer for a while, each by itself. */
  slow(host: string, delayMs: number, ms: number): void {
    this.delays.set(host, delayMs);
    this.clock.in(ms, () => this.delays.delete(host));
  }

  send(from: string, to: string, deliver: () => void): void {
    for (const cut of this.cuts) {
      const hits = (x: string, y: string): boolean => cut.a === x && (cut.b === y || (cut.b === '*' && x !== y));
      if (!hits(to, from) && (cut.oneWay || !hits(from, to))) continue;
      if (cut.mode === 'hold') cut.held.push(deliver);
      return;
    }
    const slowest = Math.max(this.delays.get(from) ?? 0, this.delays.get(to) ?? 0);
    const delay = slowest > 0 ? this.clock.between(0, slowest) : 0;
    this.clock.in(this.clock.between(0.3, 3) + delay, deliver);
  }

  /** A request with an answer; `done(null)` when none came in time. Either way may be lost or late. */
  call<T>(
    from: string,
    to: string,
    timeoutMs: number,
    serve: (reply: (v: T) => void) => void,
    done: (v: T | null) => void,
  ): void {
    let open = true;
    const finish = (v: T | null): void => {
      if (!open) return;
      open = false;
      done(v);
    };
    this.clock.in(timeoutMs, () => finish(null));
    this.send(from, to, () => serve((v) => this.send(to, from, () => finish(v))));
  }
}
