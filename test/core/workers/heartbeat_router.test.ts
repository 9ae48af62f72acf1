import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { loadPlatform } from '../../../src/config/platform.js';
import type { Output, PeerStatus } from '../../../src/core/messages.js';
import { HeartbeatForwarding } from '../../../src/core/peers/heartbeat_forwarding.js';
import { MessageIds } from '../../../src/core/peers/message_ids.js';
import { PeerTable } from '../../../src/core/peers/peer_table.js';
import { StepContext } from '../../../src/core/step_context.js';
import type { ControllerName, MonotonicTime, WallClockTime } from '../../../src/core/types.js';
import { HeartbeatRate } from '../../../src/core/workers/heartbeat_rate.js';
import { HeartbeatRouter } from '../../../src/core/workers/heartbeat_router.js';
import { decodeHeartbeat } from '../../../src/io/workers/worker_codec.js';
import { CURRENT_BUILD } from '../../sim/build.js';
import { wireHeartbeat } from '../../support/sample_messages.js';

const { settings } = loadPlatform(fileURLToPath(new URL('../../../../../test/settings.toml', import.meta.url)));
const PEER = 'node-b' as ControllerName;
const REQUEST_ID = 7;
const START = 100_000;
const heartbeat = decodeHeartbeat(wireHeartbeat);

const LEADER_STATUS: PeerStatus = {
  isLeader: true,
  stateStoreReachable: true,
  sinceLastHeartbeatMs: 0,
  heartbeatsPerSecond: 0,
  prefersDirectHeartbeats: false,
  acknowledgesCancellations: true,
};

interface Situation {
  readonly leaderName?: ControllerName | null;
  readonly isLeaderKnown?: boolean;
  readonly isLeader?: boolean;
  /** Null if no status of the peer was ever received. */
  readonly peerStatus?: PeerStatus | null;
}

/** Creates the heartbeat router of controller node-a. `send` passes it a heartbeat and returns its outputs. */
function makeRouter({
  leaderName = PEER,
  isLeaderKnown = true,
  isLeader = false,
  peerStatus = LEADER_STATUS,
}: Situation) {
  const clock = (monotonic: number) => ({ monotonic: monotonic as MonotonicTime, wallClock: 0 as WallClockTime });
  const context = new StepContext(settings, CURRENT_BUILD.tuning, clock(START));
  const peers = new PeerTable(context);
  if (peerStatus) peers.onStatus(PEER, peerStatus);
  const election = {
    electedAt: START as MonotonicTime,
    isLeaseValid: () => isLeader,
    isLeaderKnown: () => isLeaderKnown,
    leaderName: () => leaderName,
  };
  const leader = {
    machineCount: 0,
    onHeartbeat: () => context.outbox.push({ kind: 'log', level: 'debug', event: 'processed', fields: {} }),
  };
  const forwarding = new HeartbeatForwarding(context, peers, new MessageIds(1));
  const router = new HeartbeatRouter(context, election, peers, forwarding, () => (isLeader ? leader : null));
  const send = (at = START): Output[] => {
    context.beginStep(clock(at));
    router.onHeartbeat(REQUEST_ID, heartbeat);
    return context.endStep();
  };
  return { router, send, context };
}

const responseOf = (outputs: readonly Output[]): unknown =>
  outputs.map((output) => (output.kind === 'heartbeatResponse' ? output.response : output.kind));

describe('heartbeat router', () => {
  test('the leader processes a heartbeat itself', () => {
    const { router, send } = makeRouter({ isLeader: true });
    assert.equal(router.sinceLastHeartbeatMs, null);
    assert.deepEqual(responseOf(send()), ['log']);
    assert.equal(router.sinceLastHeartbeatMs, 0);
  });

  test('a follower forwards to a leader with a recent status, or redirects if the leader prefers that', () => {
    assert.deepEqual(responseOf(makeRouter({}).send()), ['peerMessage']);
    const { send } = makeRouter({ peerStatus: { ...LEADER_STATUS, prefersDirectHeartbeats: true } });
    assert.deepEqual(responseOf(send()), [{ status: 421, redirectTo: PEER }]);
  });

  test('the follower forwards heartbeats of a worker that returns within 30 s of a redirect', () => {
    const prefersDirect = { ...LEADER_STATUS, prefersDirectHeartbeats: true };
    const { send } = makeRouter({ peerStatus: prefersDirect });
    assert.deepEqual(responseOf(send(START)), [{ status: 421, redirectTo: PEER }]);
    assert.deepEqual(responseOf(send(START + 1000)), ['peerMessage']);
  });

  test('if forwarding is impossible, workers are redirected to the leader only while it is known to lead', () => {
    const redirect = [{ status: 421, redirectTo: PEER }];
    assert.deepEqual(responseOf(makeRouter({ peerStatus: null }).send()), redirect);
    assert.deepEqual(responseOf(makeRouter({ peerStatus: null, isLeaderKnown: false }).send()), [{ status: 503 }]);
    const follower = { ...LEADER_STATUS, isLeader: false };
    assert.deepEqual(responseOf(makeRouter({ peerStatus: follower }).send()), redirect);
  });

  test('a follower responds with 503 if no leader is known or if the leader key still holds its own name', () => {
    assert.deepEqual(responseOf(makeRouter({ leaderName: null }).send()), [{ status: 503 }]);
    assert.deepEqual(responseOf(makeRouter({ leaderName: settings.controller }).send()), [{ status: 503 }]);
  });

  test('a forwarded heartbeat is never forwarded again', () => {
    const { router } = makeRouter({});
    const responses: unknown[] = [];
    router.onForwardedHeartbeat(heartbeat, (response) => responses.push(response));
    assert.deepEqual(responses, [{ status: 503 }]);
    assert.equal(router.sinceLastHeartbeatMs, null);
  });
});

test('the heartbeat rate is smoothed, and is not updated by a window shorter than 0.9 s', () => {
  const rate = new HeartbeatRate(0 as MonotonicTime);
  for (let i = 0; i < 10; i++) rate.count();
  rate.update(500 as MonotonicTime);
  assert.equal(rate.perSecond, 0);
  rate.update(1000 as MonotonicTime);
  assert.equal(rate.perSecond, 5);
  rate.update(2000 as MonotonicTime);
  assert.equal(rate.perSecond, 2.5);
});
