import type { Placement } from '../jobs/job.js';
import { startKey } from '../jobs/task_keys.js';
import type { Machine } from '../machines/machine.js';
import type { Cluster } from '../state/cluster.js';
import type { Command } from '../types.js';
import { mayAcknowledgeUnknownJob } from './recovered_tasks.js';

/** An answer has 64 KiB at most. */
const MAX_COMMANDS_PER_RESPONSE = 400;

/** What to tell a worker in the answer to its report: results to drop first, then stops, then starts. */
export function compileCommands(cluster: Cluster, machine: Machine): Command[] {
  const commands = [...acknowledgeCommands(cluster, machine), ...stopCommands(machine)];
  for (const { job, index, attempt, phase, pendingStop } of machine.placements.values()) {
    if (commands.length >= MAX_COMMANDS_PER_RESPONSE) break;
    const toStart = pendingStop === null && (phase === 'planned' || phase === 'sent');
    if (toStart) commands.push({ op: 'start', job: job.id, index, attempt });
  }
  return commands;
}

/** Ended tasks whose results are on record, or that have none. */
function acknowledgeCommands(cluster: Cluster, machine: Machine): Command[] {
  const commands: Command[] = [];
  for (const { job: id, index, attempt, isDone } of machine.exitedTasks) {
    // Once forgotten, a start of the same attempt that is still on its way would run it again.
    if (machine.commandChannel.isUnconfirmed(startKey(id, index, attempt))) continue;
    const job = cluster.jobs.get(id);
    const mayForget = job ? !isDone || job.isResultDurable(index) : mayAcknowledgeUnknownJob(cluster, id);
    if (mayForget) commands.push({ op: 'acknowledge', job: id, index, attempt });
  }
  return commands;
}

/** Stops of all tasks that were told to stop, and for which `isDue` holds. */
export function stopCommands(machine: Machine, isDue: (placement: Placement) => boolean = () => true): Command[] {
  const commands: Command[] = [];
  for (const placement of machine.placements.values()) {
    const { job, index, attempt, phase, pendingStop } = placement;
    if (pendingStop === null || phase === 'planned' || !isDue(placement)) continue;
    commands.push({ op: 'stop', job: job.id, index, attempt, gracePeriodSeconds: pendingStop.gracePeriodSeconds });
  }
  for (const { job, index, attempt, shouldStop } of machine.unexpectedTasks.values()) {
    if (shouldStop) commands.push({ op: 'stop', job, index, attempt, gracePeriodSeconds: 0 });
  }
  return commands;
}
