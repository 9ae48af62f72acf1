import type { Clock } from './clock.js';

type CutMode = 'drop' | 'hold';

interface Cut {
  readonly host: string;
  /** The other end; "*": everybody. */
  readonly peer: string;
  readonly mode: CutMode;
  /** Only what goes to `host` is cut: it is heard but doesn't hear. */
  readonly oneWay: boolean;
  readonly held: (() => void)[];
}

/** Whether the cut is the one of `host` from `peer`. */
const isCut = (cut: Cut, host: string, peer: string): boolean =>
  cut.host === host && (cut.peer === peer || (cut.peer === '*' && host !== peer));

/** Messages between hosts, with cuts that lose them or hold them back and deliver them late. */
export class Network {
  private readonly cuts = new Set<Cut>();
  private readonly delays = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Cuts `host` from `peer` ("*": from everybody) for a while; one way: only what is sent to `host` is lost. */
  cut(host: string, peer: string, ms: number, mode: CutMode, oneWay = false): void {
    const cut: Cut = { host, peer, mode, oneWay, held: [] };
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
      if (!isCut(cut, to, from) && (cut.oneWay || !isCut(cut, from, to))) continue;
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
    serve: (reply: (value: T) => void) => void,
    done: (value: T | null) => void,
  ): void {
    let open = true;
    const finish = (value: T | null): void => {
      if (!open) return;
      open = false;
      done(value);
    };
    this.clock.in(timeoutMs, () => finish(null));
    this.send(from, to, () => serve((value) => this.send(to, from, () => finish(value))));
  }
}
