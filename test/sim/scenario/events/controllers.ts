import type { Output, StateStoreOperation } from '../../../../src/core/messages.js';
import { type Build, CURRENT_BUILD, CURRENT_BUILDS } from '../../build.js';
import type { World } from '../../world.js';
import { controllersNamed, type EventTable, noteFault } from './targets.js';

/** Where a scenario names no old versions. */
export const NO_OLD_VERSIONS: ReadonlyMap<string, Build> = new Map();

/** The build of that name, of this version or an old one. */
export function buildNamed(oldVersions: ReadonlyMap<string, Build>, name: string): Build {
  const build = CURRENT_BUILDS.find((current) => current.name === name) ?? oldVersions.get(name);
  if (!build) throw new Error(`no version ${name}`);
  return build;
}

/** Whether a controller ends at a call, before (`isDone` false) or after it was executed. */
type CrashPoint = (operation: StateStoreOperation, isDone: boolean) => boolean;

const CRASH_POINTS: Readonly<Record<string, CrashPoint>> = {
  'before-grant': (operation, isDone) => operation.op === 'grant' && !isDone,
  'after-grant': (operation, isDone) => operation.op === 'grant' && isDone,
  'before-acquire': (operation, isDone) => acquiresLeadership(operation) && !isDone,
  'after-acquire': (operation, isDone) => acquiresLeadership(operation) && isDone,
  'before-results': (operation, isDone) => recordsResults(operation) && !isDone,
};
const recordsResults = (operation: StateStoreOperation): boolean =>
  operation.op === 'compareAndSwap' && operation.changes.some((change) => 'put' in change && hasResults(change.value));
const hasResults = (value: unknown): boolean => ((value as { done?: unknown[] }).done?.length ?? 0) > 0;
const acquiresLeadership = (operation: StateStoreOperation): boolean =>
  operation.op === 'compareAndSwap' && operation.changes.some((change) => 'put' in change && change.put === 'leader');

/** Outputs that only a leader may make. */
const PAUSABLE_OUTPUTS: Readonly<Record<string, (output: Output) => boolean>> = {
  terminate: (output) => output.kind === 'cloudCall' && output.operation.op === 'terminate',
  provision: (output) => output.kind === 'cloudCall' && output.operation.op === 'provision',
  commands: (output) => output.kind === 'commandPush' && output.operation.commands.length > 0,
  responses: (output) => output.kind === 'heartbeatResponse' && output.response.status === 200,
};

/** Ends controllers without a word, and starts them again so many seconds later. */
export function crashControllers(world: World, which: string | undefined, restartSeconds: string): void {
  for (const controller of controllersNamed(world, which)) {
    controller.crash();
    world.clock.schedule(noteFault(world, restartSeconds), () => controller.start());
  }
}

/** Ends controllers and starts them again with the current build, `everySeconds` apart. */
export function upgradeControllers(
  world: World,
  which: string | undefined,
  restartSeconds: string,
  everySeconds: number,
): void {
  controllersNamed(world, which).forEach((controller, i) => {
    const at = i * everySeconds * 1000;
    noteFault(world, String(at / 1000 + Number(restartSeconds)));
    world.clock.schedule(at, () => {
      controller.installBuild(CURRENT_BUILD);
      crashControllers(world, controller.name, restartSeconds);
    });
  });
}

/** The next `times` controllers that get to a crash point end there. */
function crashAt(world: World, isCrashPoint: CrashPoint, times: number, restartSeconds: string): void {
  let left = times;
  const before = world.stateStore.onOperation;
  world.stateStore.onOperation = (from, operation, isDone) => {
    before(from, operation, isDone);
    if (left <= 0 || !isCrashPoint(operation, isDone)) return;
    left -= 1;
    crashControllers(world, from, restartSeconds);
  };
}

/** What happens to controller processes. */
export const controllerEvents: EventTable = {
  /** crash CONTROLLER [RESTART]: it ends without a word and is back after RESTART seconds (3) */
  crash(world, [which, restartSeconds]) {
    crashControllers(world, which, restartSeconds ?? '3');
  },
  /** crash-at POINT [TIMES] [RESTART]: whoever next gets to this point ends there; back after RESTART seconds (0.1) */
  'crash-at'(world, [point, times, restartSeconds]) {
    const isCrashPoint = CRASH_POINTS[point ?? ''];
    if (!isCrashPoint) throw new Error(`no crash point ${point}`);
    crashAt(world, isCrashPoint, Number(times ?? 1), restartSeconds ?? '0.1');
  },
  /** flap N EVERY [RESTART]: whoever leads crashes, N times, every EVERY seconds; back after RESTART seconds (1) */
  flap(world, [times, every, restartSeconds]) {
    noteFault(world, String(Number(times) * Number(every)));
    for (let i = 0; i < Number(times); i++) {
      world.clock.schedule(i * Number(every) * 1000, () => crashControllers(world, 'leader', restartSeconds ?? '1'));
    }
  },
  /** pause CONTROLLER S: it stands still while its clocks run on */
  pause(world, [which, seconds]) {
    for (const controller of controllersNamed(world, which)) controller.freeze(noteFault(world, seconds));
  },
  /** pause-before-sending CONTROLLER S terminate|provision|commands|responses: between making the next of these and sending */
  'pause-before-sending'(world, [which, seconds, what]) {
    const isPausable = PAUSABLE_OUTPUTS[what ?? ''];
    if (!isPausable) throw new Error(`nothing sent is called ${what}`);
    for (const controller of controllersNamed(world, which)) {
      const isDue = (outputs: readonly Output[]): boolean => outputs.some(isPausable);
      controller.pauseBeforeOutputs = { ms: noteFault(world, seconds), isDue };
    }
  },
  /** upgrade CONTROLLER [RESTART] [EVERY]: it ends and comes back with the current build, one after the other with EVERY */
  upgrade(world, [which, restartSeconds, every]) {
    upgradeControllers(world, which, restartSeconds ?? '3', Number(every ?? 0));
  },
  /** downgrade CONTROLLER VERSION [RESTART]: it ends and comes back with an old version, as one found old after a roll */
  downgrade(world, [which, version, restartSeconds]) {
    for (const controller of controllersNamed(world, which)) {
      controller.installBuild(buildNamed(world.options.oldVersions ?? NO_OLD_VERSIONS, version ?? ''));
      crashControllers(world, controller.name, restartSeconds ?? '3');
    }
  },
};
