/** Checks on leadership, the state store and the resources that controllers used. */
import type { World } from '../../world.js';
import type { CheckTable } from './check.js';

/**
 * The values that the check `peak` accepts. Requests and writes are counted over all controllers together, in the
 * busiest second.
 */
const METERS: Readonly<Record<string, (world: World) => number>> = {
  'steps-per-round': (world) => world.meters.largestRoundSteps,
  'store-requests': (world) => world.meters.peakStateStoreCalls,
  'store-writes': (world) => world.meters.peakStateStoreChanges,
  'cloud-requests': (world) => world.meters.peakCloudCalls,
  'open-pushes': (world) => world.meters.peakOpenPushes,
  'value-bytes': (world) => world.stateStore.largestValueLength,
  'frame-bytes': (world) => world.meters.largestFrameBytes,
};

/** Checks on leadership, the state store and the use of limited resources by controllers. */
export const controllerChecks: CheckTable = {
  /** leader: there is a leader at the end */
  leader(world) {
    return world.leader() ? null : 'nobody leads';
  },
  /** terms at-most N: the number of times leadership was acquired */
  terms(world, [, wanted]) {
    const term = (world.stateStore.item('term')?.value as { n?: number } | undefined)?.n ?? 0;
    return term <= Number(wanted) ? null : `leadership was acquired ${term} times, expected at most ${wanted}`;
  },
  /** expired-leases at-most N: the number of leases that expired on workers with tasks */
  'expired-leases'(world, [, wanted]) {
    return world.expiredLeases <= Number(wanted)
      ? null
      : `${world.expiredLeases} leases expired on workers with tasks, expected at most ${wanted}`;
  },
  /** throttled at-most N: the number of calls that the state store refused because they exceeded its rate limits */
  throttled(world, [, wanted]) {
    return world.stateStore.throttledCalls <= Number(wanted)
      ? null
      : `${world.stateStore.throttledCalls} state store calls throttled, expected at most ${wanted}`;
  },
  /** cloud-throttled at-most N: the number of cloud calls that exceeded the rate and the burst that the cloud allows */
  'cloud-throttled'(world, [, wanted]) {
    return world.meters.throttledCloudCalls <= Number(wanted)
      ? null
      : `${world.meters.throttledCloudCalls} cloud calls exceeded its limit, expected at most ${wanted}`;
  },
  /** delayed-writes at-least N: the number of transactions that were applied late */
  'delayed-writes'(world, [, wanted]) {
    return world.stateStore.delayedWritesApplied >= Number(wanted)
      ? null
      : `only ${world.stateStore.delayedWritesApplied} transactions applied late`;
  },
  /** oversized-transactions at-most N: transactions of the current build that the state store refused as too large */
  'oversized-transactions'(world, [, wanted]) {
    return world.oversizedTransactions <= Number(wanted)
      ? null
      : `${world.oversizedTransactions} transactions too large, expected at most ${wanted}`;
  },
  /** largest-page BYTES: the length limit of every page of the machine registry at the end */
  'largest-page'(world, [wanted]) {
    const longest = Math.max(
      ...world.stateStore.keys('m/').map((key) => JSON.stringify(world.stateStore.item(key)?.value).length),
    );
    return longest <= Number(wanted) ? null : `the largest registry page has ${longest} bytes, which is over the limit`;
  },
  /** peak WHAT N: the peak use of a limited resource by the controllers, see METERS */
  peak(world, [what, wanted]) {
    const meter = METERS[what ?? ''];
    if (!meter) return `unknown meter ${what}`;
    const used = meter(world);
    if (used === 0) return `${what}: nothing was counted`;
    return used <= Number(wanted) ? null : `${what}: ${used}, expected at most ${wanted}`;
  },
};
