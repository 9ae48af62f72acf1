import type { JobId } from '../../src/core/types.js';
import { recoveryChecks } from './recovery_events.js';
import type { World } from './world.js';

/** What `expect most` can ask for. Calls and changes are of the busiest second, of all nodes together. */
const METERS: Readonly<Record<string, (world: World) => number>> = {
  'steps-a-round': (world) => world.meters.largestRoundSteps,
  'state-calls': (world) => world.meters.peakStoreCalls,
  'state-changes': (world) => world.meters.peakStoreChanges,
  'cloud-calls': (world) => world.meters.peakCloudCalls,
  'direct-calls-open': (world) => world.meters.peakOpenCommands,
  'value-bytes': (world) => world.stateStore.largestValueLength,
  'frame-bytes': (world) => world.meters.largestFrameBytes,
};

export type ScenarioCheck = (world: World, words: string[]) => string | null;

export const checks: Readonly<Record<string, ScenarioCheck>> = {
  ...recoveryChecks,
  /** expect done JOB ... */
  done(world, ids) {
    const open = ids.filter((id) => world.invariants.finalStateOf(id as JobId) !== 'done');
    return open.length === 0 ? null : `not told done: ${open.join(' ')}`;
  },
  cancelled(world, ids) {
    const open = ids.filter((id) => world.invariants.finalStateOf(id as JobId) !== 'cancelled');
    return open.length === 0 ? null : `not told cancelled: ${open.join(' ')}`;
  },
  /** expect starts at-most N */
  starts(world, [, wanted]) {
    return world.invariants.starts <= Number(wanted) ? null : `${world.invariants.starts} starts, more than ${wanted}`;
  },
  /** expect leader: somebody holds the lead at the end */
  leader(world) {
    return world.leader() ? null : 'nobody leads';
  },
  /** expect begun-within S JOB ... */
  'begun-within'(world, [seconds, ...ids]) {
    const late = ids.filter(
      (id) =>
        !world.invariants.hasStarted(id as JobId) || world.invariants.waitMs(id as JobId) > Number(seconds) * 1000,
    );
    const told = late.map((id) => `${id} after ${(world.invariants.waitMs(id as JobId) / 1000).toFixed(0)} s`);
    return late.length === 0 ? null : `not begun in time: ${told.join(', ')}`;
  },
  /** expect done-within S JOB ...: told so, that long after it was submitted */
  'done-within'(world, [seconds, ...ids]) {
    const late = ids.filter((id) => world.invariants.turnaroundMs(id as JobId) > Number(seconds) * 1000);
    const told = late.map((id) => `${id} after ${(world.invariants.turnaroundMs(id as JobId) / 1000).toFixed(0)} s`);
    return late.length === 0 ? null : `not done in time: ${told.join(', ')}`;
  },
  /** expect served SHARE: of every class, every team and every class's largest jobs */
  served(world, [share]) {
    const low = [...world.invariants.servedShares()].filter(([, part]) => part < Number(share));
    return low.length === 0 ? null : low.map(([key, part]) => `${key}: ${part.toFixed(2)} served`).join(', ');
  },
  /** expect used MACHINE ...: some task ran there */
  used(world, ids) {
    const idle = ids.filter((id) => !world.invariants.usedMachines.has(id));
    return idle.length === 0 ? null : `nothing ran on ${idle.join(' ')}`;
  },
  /** expect starts-of at-most N JOB ...: each of them */
  'starts-of'(world, [, wanted, ...ids]) {
    const started = (id: string): number => world.invariants.startsByJob.get(id as JobId) ?? 0;
    const often = ids.filter((id) => started(id) > Number(wanted)).map((id) => `${id} ${started(id)} times`);
    return often.length === 0 ? null : `started too often: ${often.join(', ')}`;
  },
  /** expect out-of-use at-most N: machines that a leader took out of use because tasks failed there */
  'out-of-use'(world, [, wanted]) {
    const { quarantinedMachines } = world.meters;
    return quarantinedMachines <= Number(wanted)
      ? null
      : `${quarantinedMachines} machines taken out of use, more than ${wanted}`;
  },
  /** expect returned-busy at-most N: machines that were returned with tasks on them */
  'returned-busy'(world, [, wanted]) {
    const { terminatedWhileBusy } = world.meters;
    return terminatedWhileBusy <= Number(wanted)
      ? null
      : `${terminatedWhileBusy} machines returned with tasks, more than ${wanted}`;
  },
  accepted(world, ids) {
    const open = ids.filter((id) => !world.invariants.isAccepted(id as JobId));
    return open.length === 0 ? null : `not accepted: ${open.join(' ')}`;
  },
  /** expect gone MACHINE ... */
  gone(world, ids) {
    const there = ids.filter((id) => world.cloud.machines.has(id as never));
    return there.length === 0 ? null : `still rented: ${there.join(' ')}`;
  },
  /** expect leases-lost at-most N: workers whose lease ended under their tasks */
  'leases-lost'(world, [, wanted]) {
    return world.expiredLeases <= Number(wanted)
      ? null
      : `${world.expiredLeases} leases ran out under tasks, more than ${wanted}`;
  },
  /** expect late-writes at-least N: so many transactions were carried out late */
  'late-writes'(world, [, wanted]) {
    return world.stateStore.delayedWritesApplied >= Number(wanted)
      ? null
      : `only ${world.stateStore.delayedWritesApplied} transactions carried out late`;
  },
  /** expect late-starts at-most N: starts after the user was told that the job is cancelled */
  'late-starts'(world, [, wanted]) {
    const late = world.invariants.startsAfterCancellation;
    return late <= Number(wanted) ? null : `${late} starts after a confirmed cancellation, more than ${wanted}`;
  },
  /** expect refused-sizes at-most N: transactions of the present build that the state service called too large */
  'refused-sizes'(world, [, wanted]) {
    return world.oversizedTransactions <= Number(wanted)
      ? null
      : `${world.oversizedTransactions} transactions too large, more than ${wanted}`;
  },
  /** expect terms at-most N: so often the lead was taken */
  terms(world, [, wanted]) {
    const term = (world.stateStore.item('term')?.value as { n?: number } | undefined)?.n ?? 0;
    return term <= Number(wanted) ? null : `the lead was taken ${term} times, more than ${wanted}`;
  },
  /** expect throttled at-most N: calls that the state service refused for coming too often */
  throttled(world, [, wanted]) {
    return world.stateStore.throttled <= Number(wanted)
      ? null
      : `${world.stateStore.throttled} calls throttled, more than ${wanted}`;
  },
  /** expect cancelled-of N JOB ...: at least so many of them were cancelled */
  'cancelled-of'(world, [wanted, ...ids]) {
    const gone = ids.filter((id) => world.invariants.finalStateOf(id as JobId) === 'cancelled');
    return gone.length >= Number(wanted) ? null : `only ${gone.length} cancelled`;
  },
  /** expect gone-within S JOB ...: no task on any machine, that long after its user was told that it is cancelled */
  'gone-within'(world, [seconds, ...ids]) {
    const late = ids.filter((id) => world.invariants.stopMs(id as JobId) > Number(seconds) * 1000);
    return late.length === 0 ? null : `not gone in time: ${late.join(' ')}`;
  },
  /** expect up SHARE AFTER JOB ...: of the replica time from so many seconds on, that share was served */
  up(world, [share, after, ...ids]) {
    const low = ids.filter((id) => world.availability.averageFrom(id as JobId, Number(after) * 1000) < Number(share));
    const told = low.map(
      (id) => `${id} ${world.availability.averageFrom(id as JobId, Number(after) * 1000).toFixed(3)}`,
    );
    return low.length === 0 ? null : `not up enough: ${told.join(', ')}`;
  },
  /** expect up-now SHARE JOB ...: that part of the replicas runs at the end */
  'up-now'(world, [share, ...ids]) {
    const low = ids.filter((id) => world.availability.latest(id as JobId) < Number(share));
    return low.length === 0 ? null : `not up at the end: ${low.join(' ')}`;
  },
  /** expect running JOB ...: accepted and never told to be over */
  running(world, ids) {
    const over = ids.filter(
      (id) => !world.invariants.isAccepted(id as JobId) || world.invariants.finalStateOf(id as JobId),
    );
    return over.length === 0 ? null : `over: ${over.join(' ')}`;
  },
  /** expect refused JOB ...: answered that they can never run */
  refused(world, ids) {
    const taken = ids.filter((id) => !world.invariants.refusedJobs.has(id as JobId));
    return taken.length === 0 ? null : `not refused: ${taken.join(' ')}`;
  },
  /** expect largest-page BYTES: no page of the registry is longer at the end */
  'largest-page'(world, [wanted]) {
    const longest = Math.max(
      ...world.stateStore.keys('m/').map((key) => JSON.stringify(world.stateStore.item(key)?.value).length),
    );
    return longest <= Number(wanted) ? null : `a page of ${longest} bytes`;
  },
  rented(world, [, wanted]) {
    return world.cloud.provisionedCount <= Number(wanted)
      ? null
      : `${world.cloud.provisionedCount} machines rented, more than ${wanted}`;
  },
  /** expect machines at-most N: rented at the end */
  machines(world, [, wanted]) {
    return world.cloud.machines.size <= Number(wanted)
      ? null
      : `${world.cloud.machines.size} machines, more than ${wanted}`;
  },
  /** expect most WHAT N: what the controllers used of what is scarce, see `METERS` */
  most(world, [what, wanted]) {
    const meter = METERS[what ?? ''];
    if (!meter) return `no meter ${what}`;
    const used = meter(world);
    return used <= Number(wanted) ? null : `${what}: ${used}, more than ${wanted}`;
  },
  empty(world) {
    const left = [...world.invariants.tasksOnMachines.values()].reduce((sum, tasks) => sum + tasks.size, 0);
    return left === 0 ? null : `${left} tasks still on machines`;
  },
};
