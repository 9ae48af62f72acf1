/** The faults that random days draw. */
import assert from 'node:assert/strict';
import type { MachineId } from '../../src/core/types.js';
import { events } from './scenario/events/index.js';
import type { World } from './world.js';

/** An event of a scenario, and what draws its arguments when it occurs. */
type FaultChoice = readonly [event: string, drawArguments: () => string[]];

/** Schedules 5 to 12 faults, some with a second one, from 5 s on. All but a few second ones begin before `untilSeconds`. */
export function injectRandomFaults(world: World, untilSeconds: number): void {
  const { clock } = world;
  const faults = Math.floor(clock.randomBetween(5, 12));
  for (let i = 0; i < faults; i++) {
    const at = clock.randomBetween(5, untilSeconds);
    injectRandomFault(world, at);
    // Some faults begin while another one lasts.
    if (clock.randomBetween(0, 1) < 0.4) injectRandomFault(world, at + clock.randomBetween(0, 8));
  }
}

function injectRandomFault(world: World, atS: number): void {
  const { clock } = world;
  const [name, drawArguments] = clock.pickRandom(faultChoices(world));
  const event = events[name];
  assert.ok(event, `no event ${name}`);
  clock.schedule(atS * 1000, () => event(world, drawArguments()));
}

function faultChoices(world: World): FaultChoice[] {
  const { clock } = world;
  const controller = clock.pickRandom(['perch-0', 'perch-1', 'perch-2', 'perch-4', 'leader', 'leader']);
  const secs = (low: number, high: number): string => String(clock.randomBetween(low, high));
  const mode = clock.pickRandom(['drop', 'delay']);
  const machine = (): string => clock.pickRandom([...world.workers.keys(), 'none' as MachineId]);
  return [
    ['crash', () => [controller, secs(0.1, 6)]],
    ['crash', () => ['all', secs(0.1, 6)]],
    ['store-outage', () => [secs(1, 25)]],
    ['store-refuse', () => [controller, secs(3, 30)]],
    [
      'partition',
      () => [
        controller,
        clock.pickRandom(['state-store', 'workers', 'cloud', '*', 'users', 'perch-0']),
        secs(2, 30),
        mode,
      ],
    ],
    ['partition', () => [controller, 'control-plane', secs(2, 30), clock.pickRandom(['drop', 'delay', 'refuse'])]],
    ['machine-inbound-loss', () => [machine(), secs(5, 40)]],
    ['controller-outbound-loss', () => [controller, secs(5, 30)]],
    ['duplicate-heartbeats', () => [secs(5, 60)]],
    ['crash', () => [controller, secs(0.02, 0.4)]],
    ['crash', () => ['followers', secs(0.02, 0.4)]],
    [
      'crash-at',
      () => [
        clock.pickRandom(['before-grant', 'after-grant', 'before-acquire', 'after-acquire']),
        '2',
        secs(0.02, 0.4),
      ],
    ],
    ['pause', () => [controller, secs(1, 30)]],
    ['pause', () => ['all', secs(1, 20)]],
    ['partition', () => [machine(), '*', secs(2, 30), mode]],
    ['hang', () => [machine(), secs(2, 30)]],
    ['fail-tasks', () => [machine()]],
    ['slow-machine', () => [machine(), '4']],
    ['interruption-notice', () => [machine(), secs(4, 12)]],
    ['interrupt', () => [machine()]],
    ['fail-machine', () => [machine()]],
    ['cloud-outage', () => [secs(3, 20)]],
    ['pause', () => [controller, secs(30, 80)]],
    ['pause', () => [controller, clock.pickRandom(['3.6', '4.4', '13.6', '14.6'])]],
    [
      'pause-before-sending',
      () => [controller, secs(2, 40), clock.pickRandom(['terminate', 'provision', 'commands', 'responses'])],
    ],
    [
      'partition',
      () => [controller, clock.pickRandom(['state-store', 'workers', 'control-plane', '*']), secs(60, 95), mode],
    ],
    ['store-refuse', () => [controller, secs(60, 95)]],
    ['boot-fault', () => [clock.pickRandom(['0.04', '4']), clock.pickRandom(['0', '0.5', '1']), secs(20, 80)]],
    ['boot-fault', () => ['1', '1', secs(20, 80), clock.pickRandom(world.options.zones)]],
    ['never-boot', () => ['1']],
    ['lose-heartbeats', () => [machine(), secs(5, 40)]],
    ['lose-heartbeats', () => ['all', secs(5, 40)]],
    ['delay-heartbeats', () => [clock.pickRandom([machine(), 'all']), secs(2, 25)]],
    [
      'add-latency',
      () => [
        clock.pickRandom([machine(), controller, 'all']),
        String(clock.pickRandom([300, 2000, 6000])),
        secs(5, 40),
      ],
    ],
    ['slow-store', () => [String(clock.pickRandom([20, 100, 400])), secs(5, 40)]],
    ['delay-writes', () => [String(clock.pickRandom([0.1, 0.5, 0.9])), secs(5, 30)]],
    ['flap', () => ['10', secs(2, 12), secs(0.1, 4)]],
    ['cancel-running', () => ['4', clock.pickRandom(['', secs(5, 30)])]],
    ['cancel-on-completion', () => ['0.5', secs(20, 60)]],
    ['invalid-requests', () => [secs(10, 60)]],
    ['poll-bursts', () => [secs(20, 80)]],
    ['refusal-then-outage', () => [secs(0.5, 3), secs(20, 60)]],
    ['restart-without-catalog', () => [secs(45, 120), secs(4, 30)]],
    ['refuse-job-reads', () => [clock.pickRandom([controller, 'followers', 'all']), secs(5, 90)]],
    ...currentVersionChoices(world),
  ];
}

/**
 * Faults that the old versions cannot handle: their leaders drop machines of an unlisted type from the registry, and
 * keep pushed starts valid after their tasks are no longer wanted.
 */
function currentVersionChoices(world: World): FaultChoice[] {
  if (world.options.oldVersions) return [];
  const { clock } = world;
  const secs = (low: number, high: number): string => String(clock.randomBetween(low, high));
  const machines = clock.pickRandom([...world.workers.keys(), 'all', 'all', 'some:3']);
  return [
    ['unlist-type', () => [clock.pickRandom(['c8', 'g4']), secs(20, 100)]],
    ['hold-pushes', () => [machines, secs(5, 90)]],
    ['duplicate-pushes', () => [secs(20, 90)]],
    ['cancel-held-starts', () => [machines, clock.pickRandom(['3', '8']), secs(45, 80)]],
  ];
}
