/** Events on the state store. */
import { numberOption, readOptions } from '../../job_options.js';
import type { World } from '../../world.js';
import { cancelRunning } from './jobs.js';
import { controllersNamed, type EventTable, noteFault } from './targets.js';

/** Duration for which `refusal-then-outage` refuses the leader, in seconds. */
const REFUSAL_SECONDS = '14';
/** Maximum delay of a delayed write, in milliseconds. */
const LONGEST_WRITE_DELAY_MS = 12_000;

/** Lets the state store respond 503 to these controllers alone. */
function refuseControllers(world: World, which: string | undefined, seconds: string | undefined): void {
  for (const controller of controllersNamed(world, which)) {
    world.stateStore.refusedHosts.add(controller.name);
    world.clock.schedule(noteFault(world, seconds), () => world.stateStore.refusedHosts.delete(controller.name));
  }
}

/** Events on the state store. */
export const stateStoreEvents: EventTable = {
  /** store-outage S: for S seconds, the state store responds 503 to all, and its leases don't expire */
  'store-outage'(world, [seconds]) {
    world.stateStore.outage(noteFault(world, seconds));
  },
  /** store-refuse CONTROLLER S: for S seconds, the state store responds 503 to this controller alone */
  'store-refuse'(world, [which, seconds]) {
    refuseControllers(world, which, seconds);
  },
  /**
   * refusal-then-outage AFTER [S]: the state store refuses the leader alone, three running jobs are cancelled after
   * half of AFTER seconds, and AFTER seconds after the refusal an outage of S (default 45) seconds begins
   */
  'refusal-then-outage'(world, [after, seconds]) {
    refuseControllers(world, 'leader', REFUSAL_SECONDS);
    world.clock.schedule(Number(after) * 500, () => cancelRunning(world, 3));
    world.clock.schedule(Number(after) * 1000, () => world.stateStore.outage(noteFault(world, seconds ?? '45')));
    noteFault(world, String(Number(after) + Number(seconds ?? 45)));
  },
  /** refuse-job-reads CONTROLLER S: for S seconds, the state store refuses its reads of jobs, but renews its lease */
  'refuse-job-reads'(world, [which, seconds]) {
    for (const { name } of controllersNamed(world, which)) {
      world.stateStore.jobReadsRefusedFor.add(name);
      world.clock.schedule(noteFault(world, seconds), () => world.stateStore.jobReadsRefusedFor.delete(name));
    }
  },
  /** slow-store FACTOR S: for S seconds, each call to the state store takes FACTOR times as long */
  'slow-store'(world, [factor, seconds]) {
    world.stateStore.slowDown(Number(factor), noteFault(world, seconds));
  },
  /**
   * delay-writes SHARE S: for S seconds, this share of transactions gets no response and is applied 2 to 12 s later,
   * after newer ones
   */
  'delay-writes'(world, [share, seconds]) {
    world.stateStore.delayWrites(Number(share), noteFault(world, seconds));
    world.invariants.faultsUntil += LONGEST_WRITE_DELAY_MS;
  },
  /**
   * lower-limits [maxValueBytes=N] [maxChangesPerTransaction=N] [requestsPerSecond=N] [writesPerSecond=N]: limits from
   * now on
   */
  'lower-limits'(world, words) {
    const options = readOptions(words);
    const { maxValueBytes, maxChangesPerTransaction } = world.limits;
    world.stateStore.lowerLimits({
      maxValueBytes: numberOption(options, 'maxValueBytes', maxValueBytes),
      maxChangesPerTransaction: numberOption(options, 'maxChangesPerTransaction', maxChangesPerTransaction),
      requestsPerSecond: numberOption(options, 'requestsPerSecond', Number.POSITIVE_INFINITY),
      writesPerSecond: numberOption(options, 'writesPerSecond', Number.POSITIVE_INFINITY),
    });
  },
};
