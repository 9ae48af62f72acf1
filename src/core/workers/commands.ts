/** Puts together the commands that tell a worker what to acknowledge, stop and start. */

import { startKey } from '../jobs/task_keys.js';
import type { Machine } from '../machines/machine.js';
import type { Cluster } from '../state/cluster.js';
import type { Placement } from '../state/placement.js';
import type { Command, SequenceNumber } from '../types.js';
import { mayAcknowledgeUnknownJob } from './recovered_tasks.js';
import { isGangStartDue, mayStart } from './start_checks.js';

/** A response has 64 KiB at most. */
const MAX_COMMANDS_PER_RESPONSE = 400;

/**
 * Returns what to tell a worker in the response to its heartbeat: exits to acknowledge first, then stops, then starts, which
 * count as sent from now on. `startsInResponseTo` is the sequence number of that heartbeat; null: no start goes out.
 */
export function responseCommands(
  cluster: Cluster,
  machine: Machine,
  startsInResponseTo: SequenceNumber | null,
): Command[] {
  const commands = [...acknowledgeCommands(cluster, machine), ...stopCommands(cluster, machine)];
  if (startsInResponseTo === null) return commands;
  let starts = MAX_COMMANDS_PER_RESPONSE - commands.length;
  for (const placement of cluster.placements.onMachine(machine).values()) {
    if (starts <= 0) break;
    if (!isToStart(placement)) continue;
    starts -= 1;
    if (mayStartNow(cluster, placement)) commands.push(recordStartSent(cluster, placement, startsInResponseTo));
  }
  return commands;
}

/** One that was sent is sent again until a status shows it: the response may be lost, and a repeated start has no effect. */
const isToStart = ({ phase, pendingStop }: Placement): boolean =>
  pendingStop === null && (phase === 'planned' || phase === 'sent');

function mayStartNow(cluster: Cluster, placement: Placement): boolean {
  const { job, machine, phase } = placement;
  if (!mayStart(job, machine)) return false;
  return !job.isGang || phase !== 'planned' || isGangStartDue(cluster, placement);
}

/**
 * Notes that a start goes out, and returns its command. `sentInResponseTo`: the sequence number of the heartbeat in whose
 * response it goes out; null for a pushed command.
 */
export function recordStartSent(
  cluster: Cluster,
  placement: Placement,
  sentInResponseTo: SequenceNumber | null,
): Command {
  placement.recordStartSent(sentInResponseTo);
  cluster.previousTerms.onTaskStarted(placement);
  return { op: 'start', job: placement.job.id, index: placement.index, attempt: placement.attempt };
}

/** Exited tasks whose results are on record, or that have none. */
function acknowledgeCommands(cluster: Cluster, machine: Machine): Command[] {
  const commands: Command[] = [];
  for (const { job: id, index, attempt, isDone } of machine.reportedTasks.exited) {
    // Once acknowledged, a start of the same attempt that is still on its way would run it again.
    if (machine.commandChannel.isUnconfirmed(startKey(id, index, attempt))) continue;
    const job = cluster.jobs.get(id);
    const mayAcknowledge = job ? !isDone || job.stored.isResultDurable(index) : mayAcknowledgeUnknownJob(cluster, id);
    if (mayAcknowledge) commands.push({ op: 'acknowledge', job: id, index, attempt });
  }
  return commands;
}

/** Returns the stops of all tasks that were told to stop, and for which `isDue` holds. */
export function stopCommands(
  cluster: Cluster,
  machine: Machine,
  isDue: (placement: Placement) => boolean = () => true,
): Command[] {
  const commands: Command[] = [];
  for (const placement of cluster.placements.onMachine(machine).values()) {
    const { job, index, attempt, phase, pendingStop } = placement;
    if (pendingStop === null || phase === 'planned' || !isDue(placement)) continue;
    commands.push({ op: 'stop', job: job.id, index, attempt, gracePeriodSeconds: pendingStop.gracePeriodSeconds });
  }
  for (const { job, index, attempt, shouldStop } of machine.reportedTasks.unexpected.values()) {
    if (shouldStop) commands.push({ op: 'stop', job, index, attempt, gracePeriodSeconds: 0 });
  }
  return commands;
}
