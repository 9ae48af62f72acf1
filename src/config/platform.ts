import * as v from 'valibot';
import type { Settings } from '../core/settings.js';
import type { NodeName, TeamName, ZoneName } from '../core/types.js';
import { address, checkSettings, count, name, notNegative, positive, readToml } from './load.js';

const team = v.object({
  name,
  cpus: v.optional(notNegative, 0),
  cpus_max: v.optional(notNegative, 0),
  gpus: v.optional(notNegative, 0),
  gpus_max: v.optional(notNegative, 0),
});

const schema = v.object({
  host_name: name,
  area: name,
  listen: address,
  peer_bind: address,
  siblings: v.optional(v.array(v.object({ host_name: name, area: name, address })), []),
  endpoints: v.object({ cloud: address, state: address }),
  deployment: v.object({
    initial_size: v.optional(count, 1),
    zones: v.pipe(v.array(name), v.minLength(1)),
    skew_ms: v.optional(notNegative, 0),
    teams: v.array(team),
    // Kinds of objective that we don't know bear on nothing here.
    objectives: v.optional(
      v.array(
        v.object({
          kind: name,
          class: v.optional(v.string(), ''),
          within_s: v.optional(notNegative, 0),
          times: v.optional(positive, 1),
        }),
      ),
      [],
    ),
    workers: v.object({
      report_s: positive,
      lease_s: positive,
      gang_wait_s: positive,
      gang_peer_s: positive,
      cancel_s: positive,
    }),
    state: v.object({
      rps: positive,
      write_rps: positive,
      value_kb: positive,
      txn_ops: count,
      // What the state service will allow from some moment on that nobody announces.
      next: v.optional(
        v.object({
          rps: v.optional(positive),
          write_rps: v.optional(positive),
          value_kb: v.optional(positive),
          txn_ops: v.optional(count),
        }),
        {},
      ),
    }),
    cloud: v.object({ rps: positive, list_lag_s: notNegative }),
    machine_limits: v.object({ cpu_share: positive, memory_mb: positive, max_connections: count }),
  }),
});

/** The platform's file: what the core needs, and what only the sockets need. */
export interface Platform {
  readonly settings: Settings;
  readonly listen: string;
  readonly peerListen: string;
  readonly peers: readonly { readonly name: NodeName; readonly addr: string }[];
  readonly cloudAddr: string;
  readonly storeAddr: string;
}

export function loadPlatform(file: string): Platform {
  const raw = checkSettings(file, readToml(file), schema);
  const d = raw.deployment;
  return {
    listen: raw.listen,
    peerListen: raw.peer_bind,
    peers: raw.siblings.map((s) => ({ name: s.host_name as NodeName, addr: s.address })),
    cloudAddr: raw.endpoints.cloud,
    storeAddr: raw.endpoints.state,
    settings: {
      node: raw.host_name as NodeName,
      zone: raw.area as ZoneName,
      peers: raw.siblings.map((s) => ({ name: s.host_name as NodeName, zone: s.area as ZoneName })),
      limits: { cpuShare: d.machine_limits.cpu_share, connections: d.machine_limits.max_connections },
      nodes: Math.max(d.initial_size, raw.siblings.length + 1),
      zones: d.zones as ZoneName[],
      skewMs: d.skew_ms,
      teams: d.teams.map((t) => ({
        name: t.name as TeamName,
        cpus: t.cpus,
        gpus: t.gpus,
        cpusMax: t.cpus_max,
        gpusMax: t.gpus_max,
      })),
      objectives: d.objectives.flatMap((o) =>
        o.kind === 'wait' || o.kind === 'finished' || o.kind === 'deadline'
          ? [{ kind: o.kind, jobClass: o.class, withinS: o.within_s, times: o.times }]
          : [],
      ),
      workers: {
        reportMs: d.workers.report_s * 1000,
        leaseMs: d.workers.lease_s * 1000,
        gangWaitMs: d.workers.gang_wait_s * 1000,
        gangPeerMs: d.workers.gang_peer_s * 1000,
        cancelMs: d.workers.cancel_s * 1000,
      },
      store: {
        rps: d.state.rps,
        writeRps: d.state.write_rps,
        // Sizes fit both limits from the start: one that doesn't would be refused from one moment to the next.
        valueBytes: Math.min(d.state.value_kb, d.state.next.value_kb ?? Number.POSITIVE_INFINITY) * 1024,
        txnOps: Math.min(d.state.txn_ops, d.state.next.txn_ops ?? Number.POSITIVE_INFINITY),
        nextRps: Math.min(d.state.rps, d.state.next.rps ?? d.state.rps),
        nextWriteRps: Math.min(d.state.write_rps, d.state.next.write_rps ?? d.state.write_rps),
      },
      cloud: { rps: d.cloud.rps, listLagMs: d.cloud.list_lag_s * 1000 },
    },
  };
}
