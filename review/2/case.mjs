// The network between the leader and one machine is interrupted while a replica's start is on its way. The user cancels.
import { fileURLToPath } from 'node:url';
import { CannotRun, runCase } from '../lib/deployment.mjs';
import { sleep } from '../lib/http.mjs';
import { job } from '../lib/users.mjs';

const LONG = 'job-000001';
const FIRST_SERVICE = 'job-000002';
const CANCELLED = 'job-000003';
const service = { shape: 'daemon', rank: 'critical', cpus: 1, flight_s: 0 };

runCase(fileURLToPath(new URL('record.txt', import.meta.url)), 'ran_cancelled', async (deployment, trouble) => {
  await deployment.start((_breed, grove) => (grove === 'amman-east' ? 1 : 0));
  const { state, users, rules, record, site } = deployment;
  // One machine with a long task and a replica, so that the leader has an open connection to it.
  await users.submit(job(LONG, { cpus: 4, flight_s: 300 }));
  await deployment.waitFor('the long task runs', 40, () => rules.tasksOf(LONG).length === 1);
  await users.submit(job(FIRST_SERVICE, service));
  await deployment.waitFor('the first replica runs', 20, () => rules.tasksOf(FIRST_SERVICE).length === 1);

  // The machine reports to a controller that doesn't lead.
  const worker = deployment.workerOf(`${LONG}/0`);
  const leader = state.leader();
  const follower = deployment.nodes.findIndex(({ name }) => name !== leader);
  worker.node = follower;
  await sleep(5000);
  if (deployment.nodes[worker.node % deployment.nodes.length].name === leader) throw new CannotRun('reports go to the leader');
  const { answeredAt } = worker;
  await deployment.waitFor('a report is answered', 5, () => worker.answeredAt !== answeredAt);

  if (trouble) {
    record(`disruption: the network between ${leader}, which leads, and ${worker.machine.ref} is interrupted`);
    worker.unreached.add(leader);
    worker.link.interrupt();
  }
  await users.submit(job(CANCELLED, service));
  if (trouble) await deployment.waitFor('the start is on its way', 3, () => worker.link.heldBytes > 0);
  else await deployment.waitFor('the replica runs', 10, () => rules.tasksOf(CANCELLED).length === 1);
  const mood = await users.withdraw(CANCELLED);
  record(`the user was told: ${mood}`);
  if (trouble && rules.tasksOf(CANCELLED).length > 0) throw new CannotRun('the start came another way before');
  await sleep((site.workers.cancel_s + 2) * 1000);
  if (trouble) {
    record('the interruption is over: what was held is delivered');
    worker.unreached.clear();
    worker.link.heal();
  }
  await sleep(8000);
  rules.checkCancelled();
});
