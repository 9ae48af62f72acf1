import type { World } from '../../world.js';
import type { CheckTable } from './check.js';

/** What `peak` can ask for. Calls and changes are of the busiest second, of all controllers together. */
const METERS: Readonly<Record<string, (world: World) => number>> = {
  'steps-per-round': (world) => world.meters.largestRoundSteps,
  'store-requests': (world) => world.meters.peakStoreCalls,
  'store-writes': (world) => world.meters.peakStoreChanges,
  'cloud-requests': (world) => world.meters.peakCloudCalls,
  'open-pushes': (world) => world.meters.peakOpenCommands,
  'value-bytes': (world) => world.stateStore.largestValueLength,
  'frame-bytes': (world) => world.meters.largestFrameBytes,
};

/** Leadership, the state store, and what the controllers used of what is scarce. */
export const controllerChecks: CheckTable = {
  /** leader: there is one at the end */
  leader(world) {
    return world.leader() ? null : 'nobody leads';
  },
  /** terms at-most N: so often leadership was taken */
  terms(world, [, wanted]) {
    const term = (world.stateStore.item('term')?.value as { n?: number } | undefined)?.n ?? 0;
    return term <= Number(wanted) ? null : `leadership was taken ${term} times, more than ${wanted}`;
  },
  /** expired-leases at-most N: workers whose lease expired under their tasks */
  'expired-leases'(world, [, wanted]) {
    return world.expiredLeases <= Number(wanted)
      ? null
      : `${world.expiredLeases} leases expired under tasks, more than ${wanted}`;
  },
  /** throttled at-most N: calls that the state store refused for exceeding its rates */
  throttled(world, [, wanted]) {
    return world.stateStore.throttled <= Number(wanted)
      ? null
      : `${world.stateStore.throttled} calls throttled, more than ${wanted}`;
  },
  /** delayed-writes at-least N: so many transactions were applied late */
  'delayed-writes'(world, [, wanted]) {
    return world.stateStore.delayedWritesApplied >= Number(wanted)
      ? null
      : `only ${world.stateStore.delayedWritesApplied} transactions applied late`;
  },
  /** oversized-transactions at-most N: transactions of the current build that the state store called too large */
  'oversized-transactions'(world, [, wanted]) {
    return world.oversizedTransactions <= Number(wanted)
      ? null
      : `${world.oversizedTransactions} transactions too large, more than ${wanted}`;
  },
  /** largest-page BYTES: no page of the registry is longer at the end */
  'largest-page'(world, [wanted]) {
    const longest = Math.max(
      ...world.stateStore.keys('m/').map((key) => JSON.stringify(world.stateStore.item(key)?.value).length),
    );
    return longest <= Number(wanted) ? null : `a page of ${longest} bytes`;
  },
  /** peak WHAT N: what the controllers used of what is scarce, see METERS */
  peak(world, [what, wanted]) {
    const meter = METERS[what ?? ''];
    if (!meter) return `no meter ${what}`;
    const used = meter(world);
    if (used === 0) return `${what}: nothing was measured`;
    return used <= Number(wanted) ? null : `${what}: ${used}, more than ${wanted}`;
  },
};
