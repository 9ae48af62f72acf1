/** Events on controller processes: crashes, pauses, upgrades and downgrades. */
import type { Output, StateStoreOperation } from '../../../../src/core/messages.js';
import { type Build, CURRENT_BUILD, CURRENT_BUILDS } from '../../build.js';
import type { World } from '../../world.js';
import { cancelRunning } from './jobs.js';
import { takeCloudDown } from './machines.js';
import { controllersNamed, type EventTable, noteFault } from './targets.js';

/** The builds of old versions for scenarios that use none. */
export const NO_OLD_VERSIONS: ReadonlyMap<string, Build> = new Map();

/** Returns the build with the given name, of the current version or an old one. */
export function buildNamed(oldVersions: ReadonlyMap<string, Build>, name: string): Build {
  const build = CURRENT_BUILDS.find((current) => current.name === name) ?? oldVersions.get(name);
  if (!build) throw new Error(`unknown version ${name}`);
  return build;
}

/** Tests whether a controller crashes at a state store call, before (`isDone` is false) or after its execution. */
type CrashPoint = (operation: StateStoreOperation, isDone: boolean) => boolean;

/** Crash points by their names in a scenario. */
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

/** Seconds after which the controllers that `restart-without-catalog` crashes are back. */
const RESTART_WITHOUT_CATALOG_SECONDS = '3';
/** Time from its first cancellations to the crash. The users may have their confirmations, the workers no stops. */
const CRASH_AFTER_CANCELLATION_MS = 230;
/** Number of jobs that `restart-without-catalog` cancels before the crash, and the same number again later. */
const CANCELLED_WITHOUT_CATALOG = 2;

/** Outputs that only a leader may make, by their names in `pause-before-sending`. */
const PAUSABLE_OUTPUTS: Readonly<Record<string, (output: Output) => boolean>> = {
  terminate: (output) => output.kind === 'cloudCall' && output.operation.op === 'terminate',
  provision: (output) => output.kind === 'cloudCall' && output.operation.op === 'provision',
  commands: (output) => output.kind === 'commandPush' && output.operation.commands.length > 0,
  responses: (output) => output.kind === 'heartbeatResponse' && output.response.status === 200,
};

/** Crashes controllers, without a message to peers, and starts them again after `restartSeconds`. */
export function crashControllers(world: World, which: string | undefined, restartSeconds: string): void {
  for (const controller of controllersNamed(world, which)) {
    controller.crash();
    world.clock.schedule(noteFault(world, restartSeconds), () => controller.start());
  }
}

/** Crashes controllers and starts them again with the current build, one after another, `everySeconds` apart. */
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

/** Crashes the next `times` controllers that reach a crash point. */
function crashAt(world: World, isCrashPoint: CrashPoint, times: number, restartSeconds: string): void {
  let remaining = times;
  const before = world.stateStore.onOperation;
  world.stateStore.onOperation = (from, operation, isDone) => {
    before(from, operation, isDone);
    if (remaining <= 0 || !isCrashPoint(operation, isDone)) return;
    remaining -= 1;
    crashControllers(world, from, restartSeconds);
  };
}

/** Events on controller processes. */
export const controllerEvents: EventTable = {
  /** crash CONTROLLER [RESTART]: the process ends without a message and restarts after RESTART (default 3) seconds */
  crash(world, [which, restartSeconds]) {
    crashControllers(world, which, restartSeconds ?? '3');
  },
  /**
   * crash-at POINT [TIMES] [RESTART]: the next TIMES (default 1) controllers that reach this point crash there, and
   * restart after RESTART (default 0.1) seconds
   */
  'crash-at'(world, [point, times, restartSeconds]) {
    const isCrashPoint = CRASH_POINTS[point ?? ''];
    if (!isCrashPoint) throw new Error(`unknown crash point ${point}`);
    crashAt(world, isCrashPoint, Number(times ?? 1), restartSeconds ?? '0.1');
  },
  /**
   * flap N EVERY [RESTART]: the current leader crashes N times, every EVERY seconds, and restarts after RESTART
   * (default 1) seconds
   */
  flap(world, [times, every, restartSeconds]) {
    noteFault(world, String(Number(times) * Number(every)));
    for (let i = 0; i < Number(times); i++) {
      world.clock.schedule(i * Number(every) * 1000, () => crashControllers(world, 'leader', restartSeconds ?? '1'));
    }
  },
  /**
   * restart-without-catalog S [AFTER]: the cloud refuses every call for S seconds, and all controllers crash and restart
   * meanwhile, so that they know no machine types. Running jobs are cancelled just before the crash, and again AFTER
   * (default 6) seconds after these first cancellations
   */
  'restart-without-catalog'(world, [seconds, after]) {
    takeCloudDown(world, seconds);
    cancelRunning(world, CANCELLED_WITHOUT_CATALOG);
    world.clock.schedule(CRASH_AFTER_CANCELLATION_MS, () =>
      crashControllers(world, 'all', RESTART_WITHOUT_CATALOG_SECONDS),
    );
    world.clock.schedule(Number(after ?? 6) * 1000, () => cancelRunning(world, CANCELLED_WITHOUT_CATALOG));
  },
  /** pause CONTROLLER S: the process is paused while its clocks run on */
  pause(world, [which, seconds]) {
    for (const controller of controllersNamed(world, which)) controller.pause(noteFault(world, seconds));
  },
  /**
   * pause-before-sending CONTROLLER S terminate|provision|commands|responses: the controller is paused between making
   * the next output of this kind and sending it
   */
  'pause-before-sending'(world, [which, seconds, what]) {
    const isPausable = PAUSABLE_OUTPUTS[what ?? ''];
    if (!isPausable) throw new Error(`unknown kind of output to pause before: ${what}`);
    for (const controller of controllersNamed(world, which)) {
      const isDue = (outputs: readonly Output[]): boolean => outputs.some(isPausable);
      controller.pauseBeforeOutputs = { ms: noteFault(world, seconds), isDue };
    }
  },
  /**
   * upgrade CONTROLLER [RESTART] [EVERY]: each controller crashes and restarts with the current build after RESTART
   * (default 3) seconds. With EVERY, they do so one after another, EVERY seconds apart
   */
  upgrade(world, [which, restartSeconds, every]) {
    upgradeControllers(world, which, restartSeconds ?? '3', Number(every ?? 0));
  },
  /**
   * downgrade CONTROLLER VERSION [RESTART]: the controller crashes and restarts with an old version, as if a rolling
   * upgrade had left it out
   */
  downgrade(world, [which, version, restartSeconds]) {
    for (const controller of controllersNamed(world, which)) {
      controller.installBuild(buildNamed(world.options.oldVersions ?? NO_OLD_VERSIONS, version ?? ''));
      crashControllers(world, controller.name, restartSeconds ?? '3');
    }
  },
};
