/** Builds the commands that tell a worker which exits it may discard and which tasks to stop and start. */

import { startKey } from '../jobs/task_keys.js';
import type { Machine } from '../machines/machine.js';
import type { Cluster } from '../state/cluster.js';
import type { Placement } from '../state/placement.js';
import type { Command, FencingToken, SequenceNumber } from '../types.js';
import { mayAcknowledgeUnknownJob } from './recovered_tasks.js';
import { isGangStartDue, mayStart } from './start_checks.js';

/** Number of commands at which no more starts are added to a response, because a response is limited to 64 KiB. */
const MAX_COMMANDS_PER_RESPONSE = 400;

/**
 * Returns the commands for a heartbeat response with this fencing token: first acknowledged exits, then stops, then
 * starts. The starts are recorded as sent. `startsInResponseTo` is the sequence number of the heartbeat, or null if the
 * response may not carry starts.
 */
export function responseCommands(
  cluster: Cluster,
  machine: Machine,
  fencingToken: FencingToken,
  startsInResponseTo: SequenceNumber | null,
): Command[] {
  const commands = [...acknowledgeCommands(cluster, machine, fencingToken), ...stopCommands(cluster, machine)];
  if (startsInResponseTo === null) return commands;
  let starts = MAX_COMMANDS_PER_RESPONSE - commands.length;
  for (const placement of cluster.placements.onMachine(machine).values()) {
    if (starts <= 0) break;
    if (!needsStart(placement)) continue;
    starts -= 1;
    if (mayStartNow(cluster, placement)) commands.push(recordStartSent(cluster, placement, startsInResponseTo));
  }
  return commands;
}

/**
 * Returns whether a start has to be sent. A start is repeated until a status shows the task, because the response may
 * be lost and a repeated start has no effect.
 */
const needsStart = ({ phase, pendingStop }: Placement): boolean =>
  pendingStop === null && (phase === 'planned' || phase === 'sent');

function mayStartNow(cluster: Cluster, placement: Placement): boolean {
  const { job, machine, phase } = placement;
  if (!mayStart(job, machine)) return false;
  return !job.isGang || phase !== 'planned' || isGangStartDue(cluster, placement);
}

/**
 * Records that a start is sent, and returns its command. `sentInResponseTo` is the sequence number of the heartbeat
 * whose response carries the start, or null for a pushed command.
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

/**
 * Returns the acknowledgements of exited tasks whose results are stored, or that have no result. The worker adopts the
 * response's fencing token before it executes them.
 */
function acknowledgeCommands(cluster: Cluster, machine: Machine, fencingToken: FencingToken): Command[] {
  const commands: Command[] = [];
  for (const { job: id, index, attempt, isDone } of machine.reportedTasks.exited) {
    // A pushed start of the same attempt may still arrive, or come again, and run the task after an acknowledgement.
    if (machine.commandChannel.mayArrive(startKey(id, index, attempt), fencingToken)) continue;
    const job = cluster.jobs.get(id);
    const mayAcknowledge = job ? !isDone || job.stored.isResultDurable(index) : mayAcknowledgeUnknownJob(cluster, id);
    if (mayAcknowledge) commands.push({ op: 'acknowledge', job: id, index, attempt });
  }
  return commands;
}

/**
 * Returns the stops of placed tasks with a pending stop for which `isDue` holds, and of unexpected tasks that must
 * stop.
 */
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
